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
 * The configuration file that the platform gives a controller, read at the start and at each SIGHUP, as a whole or not
 * at all. An error names the path in the file and the reason.
 *
 * @param name the name of the controller
 * @param listenAddress where callers connect
 * @param seed the seed of the module's random numbers
 * @param maxSockets the most sockets the process may have open
 * @param limitsText the limits as they are logged
 * @param peerListenAddress where notes of peers arrive, or null
 * @param peerAddresses the other controllers
 * @param allPeersAddress where a note to all peers is sent, or null
 * @param journalAddress the journal service
 * @param initialPosition the position of the last journal event in {@code initialEvents}
 * @param initialEvents the switch list events up to the start
 * @param settings the settings of the module, flattened by {@link SettingsFlattener}
 */
record Configuration(
        String name,
        InetSocketAddress listenAddress,
        long seed,
        int maxSockets,
        String limitsText,
        InetSocketAddress peerListenAddress,
        List<InetSocketAddress> peerAddresses,
        InetSocketAddress allPeersAddress,
        InetSocketAddress journalAddress,
        long initialPosition,
        List<SwitchListEvent> initialEvents,
        Map<String, String> settings) {
    private static final int MAX_FILE_BYTES = 4 << 20;

    static Configuration read(Path file) throws IOException {
        if (Files.size(file) > MAX_FILE_BYTES) {
            throw new IOException("larger than " + MAX_FILE_BYTES + " bytes");
        }
        if (!(Json.parse(Files.readAllBytes(file)) instanceof Map<?, ?> root)) {
            throw new IOException("not a JSON object");
        }
        List<InetSocketAddress> peerAddresses = new ArrayList<>();
        if (root.get("peers") instanceof List<?> peerList) {
            for (Object peer : peerList) {
                peerAddresses.add(AddressParser.parse(peer, "peers"));
            }
        }
        List<SwitchListEvent> initialEvents = new ArrayList<>();
        long initialPosition = 0;
        if (root.get("known") instanceof Map<?, ?> knownEvents) {
            initialPosition = (long) requireInRange(knownEvents.get("pos"), "known.pos", 0, Long.MAX_VALUE);
            if (knownEvents.get("entries") instanceof List<?> entries) {
                for (Object entry : entries) {
                    initialEvents.add(SwitchListEvent.parse(entry));
                }
            }
        }
        Map<?, ?> limits = requireObject(root.get("limits"), "limits");
        Map<String, String> settings = SettingsFlattener.flatten(requireObject(root.get("settings"), "settings"));
        SettingsValidator.validate(settings);
        return new Configuration(
                requireText(root.get("name"), "name"),
                AddressParser.parse(root.get("listen"), "listen"),
                parseSeed(requireText(root.get("seed"), "seed")),
                (int) requireInRange(limits.get("sockets"), "limits.sockets", 1, Integer.MAX_VALUE),
                limits.toString(),
                optionalAddress(root.get("peer_listen"), "peer_listen"),
                List.copyOf(peerAddresses),
                optionalAddress(root.get("peers_all"), "peers_all"),
                AddressParser.parse(root.get("journal"), "journal"),
                initialPosition,
                List.copyOf(initialEvents),
                settings);
    }

    private static double requireInRange(Object value, String path, double min, double max) throws IOException {
        return SettingsValidator.requireInRange(Json.number(value, path), path, value, min, max);
    }

    private static InetSocketAddress optionalAddress(Object value, String path) throws IOException {
        return value == null ? null : AddressParser.parse(value, path);
    }

    private static Map<?, ?> requireObject(Object value, String path) throws IOException {
        if (value instanceof Map<?, ?> map) {
            return map;
        }
        throw new IOException(path + " is missing or not an object");
    }

    private static String requireText(Object value, String path) throws IOException {
        if (value instanceof String || value instanceof Json.JsonNumber) {
            return value.toString();
        }
        throw new IOException(path + " is missing or not a text");
    }

    private static long parseSeed(String text) throws IOException {
        try {
            return Long.parseUnsignedLong(text, 16);
        } catch (NumberFormatException e) {
            throw new IOException("seed is not a number of up to 16 hexadecimal digits");
        }
    }
}
