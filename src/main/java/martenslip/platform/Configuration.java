package martenslip.platform;

import java.io.IOException;
import java.net.InetSocketAddress;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import martenslip.platform.journal.SwitchListEvent;
import martenslip.platform.json.AddressParser;
import martenslip.platform.json.Json;

/**
 * What the platform tells one controller at its start and at each SIGHUP; read whole or not at all. An error names the
 * path in the file and the reason.
 */
record Configuration(
        String name,
        InetSocketAddress listen,
        long seed,
        int sockets,
        String limits,
        InetSocketAddress peerListen,
        List<InetSocketAddress> peers,
        InetSocketAddress peersAll,
        InetSocketAddress journal,
        long position,
        List<SwitchListEvent> known,
        Map<String, String> settings) {
    private static final int MOST_BYTES = 4 << 20;

    static Configuration read(Path file) throws IOException {
        if (Files.size(file) > MOST_BYTES) {
            throw new IOException("over " + MOST_BYTES + " bytes");
        }
        if (!(Json.read(Files.readAllBytes(file)) instanceof Map<?, ?> all)) {
            throw new IOException("no object");
        }
        List<InetSocketAddress> peers = new ArrayList<>();
        if (all.get("peers") instanceof List<?> list) {
            for (Object peer : list) {
                peers.add(AddressParser.parse(peer, "peers"));
            }
        }
        List<SwitchListEvent> known = new ArrayList<>();
        long position = 0;
        if (all.get("known") instanceof Map<?, ?> map) {
            position = (long) within(map.get("pos"), "known.pos", 0, Long.MAX_VALUE);
            if (map.get("entries") instanceof List<?> entries) {
                for (Object entry : entries) {
                    known.add(SwitchListEvent.parse(entry));
                }
            }
        }
        Map<?, ?> limits = map(all.get("limits"), "limits");
        Map<String, String> settings = SettingsFlattener.of(map(all.get("settings"), "settings"));
        SettingsValidator.check(settings);
        return new Configuration(
                text(all.get("name"), "name"),
                AddressParser.parse(all.get("listen"), "listen"),
                seed(text(all.get("seed"), "seed")),
                (int) within(limits.get("sockets"), "limits.sockets", 1, Integer.MAX_VALUE),
                limits.toString(),
                optional(all.get("peer_listen"), "peer_listen"),
                List.copyOf(peers),
                optional(all.get("peers_all"), "peers_all"),
                AddressParser.parse(all.get("journal"), "journal"),
                position,
                List.copyOf(known),
                settings);
    }

    private static double within(Object value, String where, double least, double most) throws IOException {
        return SettingsValidator.within(Json.number(value, where), where, value, least, most);
    }

    private static InetSocketAddress optional(Object value, String where) throws IOException {
        return value == null ? null : AddressParser.parse(value, where);
    }

    private static Map<?, ?> map(Object value, String where) throws IOException {
        if (value instanceof Map<?, ?> map) {
            return map;
        }
        throw new IOException(where + " is missing or no object");
    }

    private static String text(Object value, String where) throws IOException {
        if (value instanceof String || value instanceof Json.JsonNumber) {
            return value.toString();
        }
        throw new IOException(where + " is missing or no text");
    }

    private static long seed(String text) throws IOException {
        try {
            return Long.parseUnsignedLong(text, 16);
        } catch (NumberFormatException e) {
            throw new IOException("seed is no number of 16 hex digits");
        }
    }
}
