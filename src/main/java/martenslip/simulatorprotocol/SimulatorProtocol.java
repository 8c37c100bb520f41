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

    private static final int MAX_BATCH_BYTES = 1 << 30;
    private static final int SWITCH_LIST_COUNT = 16;
    private static final int SWITCH_ENTRY_BYTES = 24;
    private static final float[] EMPTY_REPORT = {};

    private final DataInputStream input;
    private final OutputStream output;
    private final ControllerFactory controllerFactory;
    private final ReplyWriter reply = new ReplyWriter();
    private final Map<Integer, Instance> instances = new HashMap<>();
    private final List<List<SwitchEntry>> switchLists = new ArrayList<>();
    private long batchNumber;
    private ByteBuffer records = ByteBuffer.allocate(0);

    public SimulatorProtocol(InputStream input, OutputStream output, ControllerFactory controllerFactory) {
        this.input = new DataInputStream(input);
        this.output = output;
        this.controllerFactory = controllerFactory;
        for (int i = 0; i < SWITCH_LIST_COUNT; i++) {
            switchLists.add(null);
        }
    }

    public void run() throws IOException, MalformedInputException {
        byte[] headerBytes = new byte[16];
        while (true) {
            int headerLength = input.readNBytes(headerBytes, 0, headerBytes.length);
            if (headerLength == 0) {
                return;
            }
            if (headerLength < headerBytes.length) {
                throw new MalformedInputException("the batch header ends after " + headerLength + " bytes", batchNumber, 0);
            }
            ByteBuffer header = ByteBuffer.wrap(headerBytes);
            int encodedBatchNumber = header.getInt();
            batchNumber = Integer.toUnsignedLong(encodedBatchNumber);
            long bodyLength = Integer.toUnsignedLong(header.getInt());
            if (bodyLength > MAX_BATCH_BYTES) {
                throw new MalformedInputException("a batch of " + bodyLength + " bytes", batchNumber, 0);
            }
            records = ByteBuffer.wrap(readFully((int) bodyLength));
            reply.begin();
            Moment now = new Moment(header.getLong());
            while (records.hasRemaining()) {
                int recordStart = records.position();
                try {
                    dispatchRecord(now, recordStart);
                } catch (BufferUnderflowException e) {
                    throw new MalformedInputException("the record does not fit its batch", batchNumber, recordStart);
                }
            }
            ByteBuffer encodedReply = reply.finish(encodedBatchNumber);
            output.write(encodedReply.array(), 0, encodedReply.limit());
            output.flush();
        }
    }

    private byte[] readFully(int length) throws IOException, MalformedInputException {
        byte[] bytes = input.readNBytes(length);
        if (bytes.length < length) {
            throw new MalformedInputException(
                    "the input ends inside the batch, after " + bytes.length + " of " + length + " bytes",
                    batchNumber,
                    bytes.length);
        }
        return bytes;
    }

    private void dispatchRecord(Moment now, int recordStart) throws MalformedInputException {
        int code = Short.toUnsignedInt(records.getShort());
        if (code == 1100) {
            readSwitchList();
            return;
        }
        int instanceId = records.getInt();
        switch (code) {
            case 1000 -> startInstance(now, instanceId, recordStart);
            case 1010 -> deliverSwitchList(now, instanceId, recordStart);
            case 1020 -> {
                Contact contact = readContact();
                deliver(instanceId, controller -> controller.contactOffered(now, contact));
            }
            case 1030 -> {
                long contact = records.getLong();
                int ringNumber = Short.toUnsignedInt(records.getShort());
                Span elapsed = new Span(records.getLong());
                long target = readTarget();
                deliver(instanceId, controller -> controller.established(now, contact, ringNumber, target, elapsed));
            }
            case 1040 -> deliverRingEnd(now, instanceId, recordStart);
            case 1050 -> {
                long contact = records.getLong();
                deliver(instanceId, controller -> controller.callerGone(now, contact));
            }
            case 1060 -> {
                long token = records.getLong();
                deliver(instanceId, controller -> controller.timerExpired(now, token));
            }
            case 1070 -> {
                int outcome = Byte.toUnsignedInt(records.get());
                long target = readTarget();
                Span elapsed = new Span(records.getLong());
                float[] report = readReport();
                deliver(instanceId, controller -> controller.switchReported(now, target, outcome == 0, elapsed, report));
            }
            case 1080 -> {
                int peer = records.getInt();
                byte[] note = readBytes(Short.toUnsignedInt(records.getShort()), recordStart);
                deliver(instanceId, controller -> controller.peerNoteReceived(now, peer, note));
            }
            case 1090 -> {
                deliver(instanceId, controller -> controller.stopped(now));
                instances.remove(instanceId);
            }
            default -> throw new MalformedInputException("unknown record code " + code, batchNumber, recordStart);
        }
    }

    private interface EventHandler {
        void deliverTo(Controller controller);
    }

    private void deliver(int instanceId, EventHandler handler) {
        Instance instance = instances.get(instanceId);
        if (instance == null || instance.failed) {
            return;
        }
        try {
            handler.deliverTo(instance.controller);
        } catch (RuntimeException e) {
            instance.failed = true;
            reply.writeFault(instanceId, stackTraceSummary(e));
        }
    }

    private static String stackTraceSummary(RuntimeException exception) {
        StringBuilder summary = new StringBuilder(exception.toString());
        StackTraceElement[] frames = exception.getStackTrace();
        for (int i = 0; i < Math.min(5, frames.length); i++) {
            summary.append(" at ").append(frames[i]);
        }
        return summary.toString();
    }

    private void startInstance(Moment now, int instanceId, int recordStart) throws MalformedInputException {
        long seed = records.getLong();
        int textLength = records.getInt();
        int linePosition = records.position();
        String text = new String(readBytes(textLength, recordStart), StandardCharsets.UTF_8);
        Map<String, String> settings = new LinkedHashMap<>();
        for (String line : text.split("\n")) {
            int equalsIndex = line.indexOf('=');
            if (equalsIndex > 0) {
                settings.put(line.substring(0, equalsIndex), line.substring(equalsIndex + 1));
            } else if (!line.isBlank()) {
                throw new MalformedInputException("a settings line that is no path=value: " + line, batchNumber, linePosition);
            }
            linePosition += line.getBytes(StandardCharsets.UTF_8).length + 1;
        }
        try {
            Controller controller = controllerFactory.create(settings, seed, now, reply.orders(instanceId));
            instances.put(instanceId, new Instance(controller));
        } catch (RuntimeException e) {
            reply.writeFault(instanceId, stackTraceSummary(e));
        }
    }

    private void readSwitchList() throws MalformedInputException {
        int recordStart = records.position() - 2;
        int listNumber = Short.toUnsignedInt(records.getShort());
        if (listNumber >= SWITCH_LIST_COUNT) {
            throw new MalformedInputException("list number " + listNumber + ", the last is " + (SWITCH_LIST_COUNT - 1), batchNumber, recordStart);
        }
        int count = records.getInt();
        if (count < 0 || (long) count * SWITCH_ENTRY_BYTES > records.remaining()) {
            throw new MalformedInputException(
                    "a list of " + Integer.toUnsignedString(count) + " lines does not fit its batch", batchNumber, recordStart);
        }
        List<SwitchEntry> entries = new ArrayList<>(count);
        for (int i = 0; i < count; i++) {
            int entryPosition = records.position();
            records.getFloat();
            records.get();
            SwitchEntry.State state = switch (records.get()) {
                case 0 -> SwitchEntry.State.DRAINING;
                case 1 -> SwitchEntry.State.GONE;
                case 2 -> SwitchEntry.State.READY;
                default -> throw new MalformedInputException("unknown state of a switch", batchNumber, entryPosition);
            };
            long target = readTarget();
            int zone = Short.toUnsignedInt(records.getShort());
            long startedNs = records.getLong();
            int switchNumber = Short.toUnsignedInt(records.getShort());
            entries.add(new SwitchEntry(target, switchNumber, state, startedNs == 0 ? null : new Moment(startedNs), zone));
        }
        switchLists.set(listNumber, List.copyOf(entries));
    }

    private void deliverSwitchList(Moment now, int instanceId, int recordStart) throws MalformedInputException {
        int listNumber = Short.toUnsignedInt(records.getShort());
        records.getInt();
        ListKind kind = switch (records.get()) {
            case 0 -> ListKind.CHANGES;
            case 1 -> ListKind.FULL;
            case 2 -> ListKind.CACHED;
            case 3 -> ListKind.FAILED;
            default -> throw new MalformedInputException("unknown kind of list", batchNumber, recordStart);
        };
        List<SwitchEntry> entries = kind == ListKind.FAILED ? List.of() : listNumber < SWITCH_LIST_COUNT ? switchLists.get(listNumber) : null;
        if (entries == null) {
            throw new MalformedInputException("list " + listNumber + " was never given", batchNumber, recordStart);
        }
        deliver(instanceId, controller -> controller.switchListReceived(now, kind, entries));
    }

    private Contact readContact() {
        long id = records.getLong();
        records.getLong();
        long dialledNumber = records.getLong();
        int routingHint = (int) records.getFloat();
        int width = (int) records.getFloat();
        Span patience = new Span(records.getLong());
        records.getShort();
        int skill = Byte.toUnsignedInt(records.get());
        int destination = (int) records.getFloat();
        int flags = records.getShort();
        return new Contact(
                id,
                skill,
                dialledNumber,
                destination,
                routingHint,
                width,
                patience,
                (flags & 2) != 0,
                (flags & 8) != 0,
                (flags & 16) != 0);
    }

    private void deliverRingEnd(Moment now, int instanceId, int recordStart) throws MalformedInputException {
        long contact = records.getLong();
        int causeCode = Byte.toUnsignedInt(records.get());
        int ringNumber = Short.toUnsignedInt(records.getShort());
        Span elapsed = new Span(records.getLong());
        long target = readTarget();
        int reasonCode = records.getInt();
        boolean answered = records.get() != 0;
        float[] report = readReport();
        RingEndCause cause = switch (causeCode) {
            case 0 -> RingEndCause.CONCLUDED;
            case 255 -> RingEndCause.BUSY;
            case 254 -> RingEndCause.TURNED_BACK;
            case 253 -> RingEndCause.TIMED_OUT;
            case 252 -> RingEndCause.UNREACHABLE;
            case 251 -> RingEndCause.CUT;
            case 250 -> RingEndCause.CALLED_OFF;
            case 249 -> RingEndCause.NOT_SENT;
            default -> throw new MalformedInputException("unknown outcome " + causeCode, batchNumber, recordStart);
        };
        RejectionReason rejectionReason = switch (reasonCode & 15) {
            case 1 -> RejectionReason.NO_CIRCUIT;
            case 2 -> reasonCode >= 16 ? RejectionReason.BEYOND_FULL : RejectionReason.TANDEM;
            case 3 -> RejectionReason.PROCESSOR;
            case 4 -> RejectionReason.LINES_BUSY;
            default -> RejectionReason.NONE;
        };
        RingEnd end = new RingEnd(contact, ringNumber, target, cause, rejectionReason, elapsed, answered, report);
        deliver(instanceId, controller -> controller.ringEnded(now, end));
    }

    private long readTarget() {
        return Integer.toUnsignedLong(records.getInt()) << 16 | Short.toUnsignedLong(records.getShort());
    }

    private float[] readReport() {
        int count = Byte.toUnsignedInt(records.get());
        if (count == 0) {
            return EMPTY_REPORT;
        }
        float[] values = new float[count];
        for (int i = 0; i < count; i++) {
            values[i] = records.getFloat();
        }
        return values;
    }

    private byte[] readBytes(int length, int recordStart) throws MalformedInputException {
        if (length < 0 || length > records.remaining()) {
            throw new MalformedInputException(
                    "a text of " + Integer.toUnsignedString(length) + " bytes does not fit its batch", batchNumber, recordStart);
        }
        byte[] bytes = new byte[length];
        records.get(bytes);
        return bytes;
    }
}
