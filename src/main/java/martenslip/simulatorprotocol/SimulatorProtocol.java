package martenslip.simulatorprotocol;

import java.io.DataInputStream;
import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.nio.BufferUnderflowException;
import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import martenslip.control.Contact;
import martenslip.control.Controller;
import martenslip.control.Controller.ListKind;
import martenslip.control.ControllerFactory;
import martenslip.control.Moment;
import martenslip.control.RejectionReason;
import martenslip.control.RingEnd;
import martenslip.control.RingEndCause;
import martenslip.control.Span;
import martenslip.control.SwitchEntry;

/** Feeds modules from the wire and writes down what they order; it judges nothing. */
public final class SimulatorProtocol {
    private static final class Instance {
        final Controller controller;
        boolean failed;

        Instance(Controller controller) {
            this.controller = controller;
        }
    }

    private static final int MOST_BATCH = 1 << 30;
    private static final int LISTS = 16;
    private static final int LINE_BYTES = 24;
    private static final float[] NO_REPORT = {};

    private final DataInputStream in;
    private final OutputStream out;
    private final ControllerFactory maker;
    private final ReplyWriter reply = new ReplyWriter();
    private final Map<Integer, Instance> instances = new HashMap<>();
    private final List<List<SwitchEntry>> lists = new ArrayList<>();
    private long batch;
    private ByteBuffer records = ByteBuffer.allocate(0);

    public SimulatorProtocol(InputStream in, OutputStream out, ControllerFactory maker) {
        this.in = new DataInputStream(in);
        this.out = out;
        this.maker = maker;
        for (int i = 0; i < LISTS; i++) {
            lists.add(null);
        }
    }

    public void run() throws IOException, MalformedInputException {
        byte[] header = new byte[16];
        while (true) {
            int got = in.readNBytes(header, 0, header.length);
            if (got == 0) {
                return;
            }
            if (got < header.length) {
                throw new MalformedInputException("the batch header ends after " + got + " bytes", batch, 0);
            }
            ByteBuffer head = ByteBuffer.wrap(header);
            int number = head.getInt();
            batch = Integer.toUnsignedLong(number);
            long length = Integer.toUnsignedLong(head.getInt());
            if (length > MOST_BATCH) {
                throw new MalformedInputException("a batch of " + length + " bytes", batch, 0);
            }
            records = ByteBuffer.wrap(read((int) length));
            reply.begin();
            Moment now = new Moment(head.getLong());
            while (records.hasRemaining()) {
                int start = records.position();
                try {
                    event(now, start);
                } catch (BufferUnderflowException e) {
                    throw new MalformedInputException("the record does not fit its batch", batch, start);
                }
            }
            ByteBuffer done = reply.finish(number);
            out.write(done.array(), 0, done.limit());
            out.flush();
        }
    }

    private byte[] read(int length) throws IOException, MalformedInputException {
        byte[] bytes = in.readNBytes(length);
        if (bytes.length < length) {
            throw new MalformedInputException(
                    "the input ends inside the batch, after " + bytes.length + " of " + length + " bytes",
                    batch,
                    bytes.length);
        }
        return bytes;
    }

    private void event(Moment now, int start) throws MalformedInputException {
        int code = Short.toUnsignedInt(records.getShort());
        if (code == 1100) {
            switchList();
            return;
        }
        int id = records.getInt();
        switch (code) {
            case 1000 -> started(now, id, start);
            case 1010 -> listed(now, id, start);
            case 1020 -> {
                Contact contact = contact();
                tell(id, c -> c.contactOffered(now, contact));
            }
            case 1030 -> {
                long contact = records.getLong();
                int ring = Short.toUnsignedInt(records.getShort());
                Span took = new Span(records.getLong());
                long target = target();
                tell(id, c -> c.established(now, contact, ring, target, took));
            }
            case 1040 -> ended(now, id, start);
            case 1050 -> {
                long contact = records.getLong();
                tell(id, c -> c.callerGone(now, contact));
            }
            case 1060 -> {
                long token = records.getLong();
                tell(id, c -> c.timerExpired(now, token));
            }
            case 1070 -> {
                int how = Byte.toUnsignedInt(records.get());
                long target = target();
                Span took = new Span(records.getLong());
                float[] report = report();
                tell(id, c -> c.switchReported(now, target, how == 0, took, report));
            }
            case 1080 -> {
                int peer = records.getInt();
                byte[] note = bytes(Short.toUnsignedInt(records.getShort()), start);
                tell(id, c -> c.peerNoteReceived(now, peer, note));
            }
            case 1090 -> {
                tell(id, c -> c.stopped(now));
                instances.remove(id);
            }
            default -> throw new MalformedInputException("unknown record code " + code, batch, start);
        }
    }

    private interface EventHandler {
        void to(Controller controller);
    }

    private void tell(int id, EventHandler told) {
        Instance instance = instances.get(id);
        if (instance == null || instance.failed) {
            return;
        }
        try {
            told.to(instance.controller);
        } catch (RuntimeException e) {
            instance.failed = true;
            reply.fault(id, trace(e));
        }
    }

    private static String trace(RuntimeException e) {
        StringBuilder text = new StringBuilder(e.toString());
        StackTraceElement[] frames = e.getStackTrace();
        for (int i = 0; i < Math.min(5, frames.length); i++) {
            text.append(" at ").append(frames[i]);
        }
        return text.toString();
    }

    private void started(Moment now, int id, int start) throws MalformedInputException {
        long seed = records.getLong();
        int length = records.getInt();
        int at = records.position();
        String text = new String(bytes(length, start), StandardCharsets.UTF_8);
        Map<String, String> settings = new LinkedHashMap<>();
        for (String line : text.split("\n")) {
            int equals = line.indexOf('=');
            if (equals > 0) {
                settings.put(line.substring(0, equals), line.substring(equals + 1));
            } else if (!line.isBlank()) {
                throw new MalformedInputException("a settings line that is no path=value: " + line, batch, at);
            }
            at += line.getBytes(StandardCharsets.UTF_8).length + 1;
        }
        try {
            Controller made = maker.create(settings, seed, now, reply.orders(id));
            instances.put(id, new Instance(made));
        } catch (RuntimeException e) {
            reply.fault(id, trace(e));
        }
    }

    private void switchList() throws MalformedInputException {
        int start = records.position() - 2;
        int number = Short.toUnsignedInt(records.getShort());
        if (number >= LISTS) {
            throw new MalformedInputException("list number " + number + ", the last is " + (LISTS - 1), batch, start);
        }
        int count = records.getInt();
        if (count < 0 || (long) count * LINE_BYTES > records.remaining()) {
            throw new MalformedInputException(
                    "a list of " + Integer.toUnsignedString(count) + " lines does not fit its batch", batch, start);
        }
        List<SwitchEntry> lines = new ArrayList<>(count);
        for (int i = 0; i < count; i++) {
            int at = records.position();
            records.getFloat();
            records.get();
            SwitchEntry.State state = switch (records.get()) {
                case 0 -> SwitchEntry.State.DRAINING;
                case 1 -> SwitchEntry.State.GONE;
                case 2 -> SwitchEntry.State.READY;
                default -> throw new MalformedInputException("unknown state of a switch", batch, at);
            };
            long id = target();
            int zone = Short.toUnsignedInt(records.getShort());
            long started = records.getLong();
            int node = Short.toUnsignedInt(records.getShort());
            lines.add(new SwitchEntry(id, node, state, started == 0 ? null : new Moment(started), zone));
        }
        lists.set(number, List.copyOf(lines));
    }

    private void listed(Moment now, int id, int start) throws MalformedInputException {
        int number = Short.toUnsignedInt(records.getShort());
        records.getInt();
        ListKind kind = switch (records.get()) {
            case 0 -> ListKind.CHANGES;
            case 1 -> ListKind.FULL;
            case 2 -> ListKind.CACHED;
            case 3 -> ListKind.FAILED;
            default -> throw new MalformedInputException("unknown kind of list", batch, start);
        };
        List<SwitchEntry> lines = kind == ListKind.FAILED ? List.of() : number < LISTS ? lists.get(number) : null;
        if (lines == null) {
            throw new MalformedInputException("list " + number + " was never given", batch, start);
        }
        tell(id, c -> c.switchListReceived(now, kind, lines));
    }

    private Contact contact() {
        long id = records.getLong();
        records.getLong();
        long dialled = records.getLong();
        int hint = (int) records.getFloat();
        int width = (int) records.getFloat();
        Span patience = new Span(records.getLong());
        records.getShort();
        int skill = Byte.toUnsignedInt(records.get());
        int destination = (int) records.getFloat();
        int bits = records.getShort();
        return new Contact(
                id,
                skill,
                dialled,
                destination,
                hint,
                width,
                patience,
                (bits & 2) != 0,
                (bits & 8) != 0,
                (bits & 16) != 0);
    }

    private void ended(Moment now, int id, int start) throws MalformedInputException {
        long contact = records.getLong();
        int how = Byte.toUnsignedInt(records.get());
        int ring = Short.toUnsignedInt(records.getShort());
        Span took = new Span(records.getLong());
        long target = target();
        int why = records.getInt();
        boolean answered = records.get() != 0;
        float[] report = report();
        RingEndCause cause = switch (how) {
            case 0 -> RingEndCause.CONCLUDED;
            case 255 -> RingEndCause.BUSY;
            case 254 -> RingEndCause.TURNED_BACK;
            case 253 -> RingEndCause.TIMED_OUT;
            case 252 -> RingEndCause.UNREACHABLE;
            case 251 -> RingEndCause.CUT;
            case 250 -> RingEndCause.CALLED_OFF;
            case 249 -> RingEndCause.NOT_SENT;
            default -> throw new MalformedInputException("unknown outcome " + how, batch, start);
        };
        RejectionReason blame = switch (why & 15) {
            case 1 -> RejectionReason.NO_CIRCUIT;
            case 2 -> why >= 16 ? RejectionReason.BEYOND_FULL : RejectionReason.TANDEM;
            case 3 -> RejectionReason.PROCESSOR;
            case 4 -> RejectionReason.LINES_BUSY;
            default -> RejectionReason.NONE;
        };
        RingEnd end = new RingEnd(contact, ring, target, cause, blame, took, answered, report);
        tell(id, c -> c.ringEnded(now, end));
    }

    private long target() {
        return Integer.toUnsignedLong(records.getInt()) << 16 | Short.toUnsignedLong(records.getShort());
    }

    private float[] report() {
        int count = Byte.toUnsignedInt(records.get());
        if (count == 0) {
            return NO_REPORT;
        }
        float[] values = new float[count];
        for (int i = 0; i < count; i++) {
            values[i] = records.getFloat();
        }
        return values;
    }

    private byte[] bytes(int length, int start) throws MalformedInputException {
        if (length < 0 || length > records.remaining()) {
            throw new MalformedInputException(
                    "a text of " + Integer.toUnsignedString(length) + " bytes does not fit its batch", batch, start);
        }
        byte[] bytes = new byte[length];
        records.get(bytes);
        return bytes;
    }
}
