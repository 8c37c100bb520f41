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

/**
 * Serves the simulator protocol. The input is a sequence of batches, each with a header (batch number, length of the
 * records in bytes, time in nanoseconds) and records with events for controller instances. Each batch is answered by
 * one reply with the actions that the controllers ordered. What they decide is not checked here.
 */
public final class SimulatorProtocol {
    private static final class Instance {
        final Controller controller;
        /** Set once the controller threw an exception; it then receives no further events. */
        boolean failed;

        Instance(Controller controller) {
            this.controller = controller;
        }
    }

    private static final int BATCH_HEADER_BYTES = 16;
    private static final int MAX_BATCH_BYTES = 1 << 30;
    private static final int SWITCH_LIST_COUNT = 16;
    private static final int SWITCH_ENTRY_BYTES = 24;
    private static final int MAX_REPORTED_STACK_FRAMES = 5;

    private static final int START_RECORD = 1000;
    private static final int DELIVER_SWITCH_LIST_RECORD = 1010;
    private static final int CONTACT_OFFERED_RECORD = 1020;
    private static final int ESTABLISHED_RECORD = 1030;
    private static final int RING_ENDED_RECORD = 1040;
    private static final int CALLER_GONE_RECORD = 1050;
    private static final int TIMER_EXPIRED_RECORD = 1060;
    private static final int SWITCH_REPORTED_RECORD = 1070;
    private static final int PEER_NOTE_RECORD = 1080;
    private static final int STOP_RECORD = 1090;
    /** Defines a switch list for later records; it belongs to no instance. */
    private static final int SWITCH_LIST_RECORD = 1100;

    private static final int REDIAL_FLAG = 2;
    private static final int IN_TRANSIT_FLAG = 8;
    private static final int PREVIOUSLY_CUT_FLAG = 16;
    /** The low four bits of a reason code hold the reason, the higher bits hold details. */
    private static final int REASON_MASK = 15;

    private static final int MIN_REASON_DETAIL = 16;

    private static final float[] EMPTY_REPORT = {};

    private final DataInputStream input;
    private final OutputStream output;
    private final ControllerFactory controllerFactory;
    private final ReplyWriter reply = new ReplyWriter();
    private final Map<Integer, Instance> instances = new HashMap<>();
    /** Switch lists by number; null where none was received. */
    private final List<List<SwitchEntry>> switchLists = new ArrayList<>();
    /** Number of the current batch, for error messages. */
    private long batchNumber;
    /** Records of the current batch. */
    private ByteBuffer records = ByteBuffer.allocate(0);

    /** Creates a session that creates a controller for each instance that the input starts. */
    public SimulatorProtocol(InputStream input, OutputStream output, ControllerFactory controllerFactory) {
        this.input = new DataInputStream(input);
        this.output = output;
        this.controllerFactory = controllerFactory;
        for (int i = 0; i < SWITCH_LIST_COUNT; i++) {
            switchLists.add(null);
        }
    }

    /** Answers batches until the input ends between two of them. */
    public void run() throws IOException, MalformedInputException {
        byte[] headerBytes = new byte[BATCH_HEADER_BYTES];
        while (true) {
            int headerLength = input.readNBytes(headerBytes, 0, headerBytes.length);
            if (headerLength == 0) {
                return;
            }
            if (headerLength < headerBytes.length) {
                throw new MalformedInputException(
                        "the batch header ends after " + headerLength + " bytes", batchNumber, 0);
            }
            ByteBuffer header = ByteBuffer.wrap(headerBytes);
            int encodedBatchNumber = header.getInt();
            batchNumber = Integer.toUnsignedLong(encodedBatchNumber);
            long bodyLength = Integer.toUnsignedLong(header.getInt());
            if (bodyLength > MAX_BATCH_BYTES) {
                throw new MalformedInputException(
                        "batch of " + bodyLength + " bytes is longer than " + MAX_BATCH_BYTES, batchNumber, 0);
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
        if (code == SWITCH_LIST_RECORD) {
            readSwitchList();
            return;
        }
        int instanceId = records.getInt();
        switch (code) {
            case START_RECORD -> startInstance(now, instanceId, recordStart);
            case DELIVER_SWITCH_LIST_RECORD -> deliverSwitchList(now, instanceId, recordStart);
            case CONTACT_OFFERED_RECORD -> {
                Contact contact = readContact();
                deliver(instanceId, controller -> controller.contactOffered(now, contact));
            }
            case ESTABLISHED_RECORD -> {
                long contact = records.getLong();
                int ringNumber = Short.toUnsignedInt(records.getShort());
                Span elapsed = new Span(records.getLong());
                long target = readTarget();
                deliver(instanceId, controller -> controller.established(now, contact, ringNumber, target, elapsed));
            }
            case RING_ENDED_RECORD -> deliverRingEnd(now, instanceId, recordStart);
            case CALLER_GONE_RECORD -> {
                long contact = records.getLong();
                deliver(instanceId, controller -> controller.callerGone(now, contact));
            }
            case TIMER_EXPIRED_RECORD -> {
                long token = records.getLong();
                deliver(instanceId, controller -> controller.timerExpired(now, token));
            }
            case SWITCH_REPORTED_RECORD -> {
                int outcome = Byte.toUnsignedInt(records.get());
                long target = readTarget();
                Span elapsed = new Span(records.getLong());
                float[] report = readReport();
                deliver(
                        instanceId,
                        controller -> controller.switchReported(now, target, outcome == 0, elapsed, report));
            }
            case PEER_NOTE_RECORD -> {
                int peer = records.getInt();
                byte[] note = readBytes(Short.toUnsignedInt(records.getShort()), recordStart);
                deliver(instanceId, controller -> controller.peerNoteReceived(now, peer, note));
            }
            case STOP_RECORD -> {
                deliver(instanceId, controller -> controller.stopped(now));
                instances.remove(instanceId);
            }
            default -> throw new MalformedInputException("unknown record code " + code, batchNumber, recordStart);
        }
    }

    /** Passes one event to the controller of an instance. */
    private interface EventHandler {
        void deliverTo(Controller controller);
    }

    /** Delivers an event, unless the instance is unknown or has failed. An exception of the controller fails it. */
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
        for (int i = 0; i < Math.min(MAX_REPORTED_STACK_FRAMES, frames.length); i++) {
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
                throw new MalformedInputException(
                        "settings line is not path=value: " + line, batchNumber, linePosition);
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
            throw new MalformedInputException(
                    "list number " + listNumber + " is out of range, the largest is " + (SWITCH_LIST_COUNT - 1),
                    batchNumber,
                    recordStart);
        }
        int count = records.getInt();
        if (count < 0 || (long) count * SWITCH_ENTRY_BYTES > records.remaining()) {
            throw new MalformedInputException(
                    "list of " + Integer.toUnsignedString(count) + " entries does not fit its batch",
                    batchNumber,
                    recordStart);
        }
        List<SwitchEntry> entries = new ArrayList<>(count);
        for (int i = 0; i < count; i++) {
            int entryPosition = records.position();
            // Two fields that controllers do not use.
            records.getFloat();
            records.get();
            SwitchEntry.State state = switch (records.get()) {
                case 0 -> SwitchEntry.State.DRAINING;
                case 1 -> SwitchEntry.State.GONE;
                case 2 -> SwitchEntry.State.READY;
                default -> throw new MalformedInputException("unknown switch state", batchNumber, entryPosition);
            };
            long target = readTarget();
            int zone = Short.toUnsignedInt(records.getShort());
            long startedNs = records.getLong();
            int switchNumber = Short.toUnsignedInt(records.getShort());
            entries.add(
                    new SwitchEntry(target, switchNumber, state, startedNs == 0 ? null : new Moment(startedNs), zone));
        }
        switchLists.set(listNumber, List.copyOf(entries));
    }

    private void deliverSwitchList(Moment now, int instanceId, int recordStart) throws MalformedInputException {
        int listNumber = Short.toUnsignedInt(records.getShort());
        // A field that controllers do not use.
        records.getInt();
        ListKind kind = switch (records.get()) {
            case 0 -> ListKind.CHANGES;
            case 1 -> ListKind.FULL;
            case 2 -> ListKind.CACHED;
            case 3 -> ListKind.FAILED;
            default -> throw new MalformedInputException("unknown list kind", batchNumber, recordStart);
        };
        List<SwitchEntry> entries = kind == ListKind.FAILED
                ? List.of()
                : listNumber < SWITCH_LIST_COUNT ? switchLists.get(listNumber) : null;
        if (entries == null) {
            throw new MalformedInputException(
                    "list " + listNumber + " was not defined before", batchNumber, recordStart);
        }
        deliver(instanceId, controller -> controller.switchListReceived(now, kind, entries));
    }

    private Contact readContact() {
        long id = records.getLong();
        // A field that controllers do not use.
        records.getLong();
        long dialledNumber = records.getLong();
        int routingHint = (int) records.getFloat();
        int width = (int) records.getFloat();
        Span patience = new Span(records.getLong());
        // A field that controllers do not use.
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
                (flags & REDIAL_FLAG) != 0,
                (flags & IN_TRANSIT_FLAG) != 0,
                (flags & PREVIOUSLY_CUT_FLAG) != 0);
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
            default ->
                throw new MalformedInputException("unknown ring end cause " + causeCode, batchNumber, recordStart);
        };
        RejectionReason rejectionReason = switch (reasonCode & REASON_MASK) {
            case 1 -> RejectionReason.NO_CIRCUIT;
            // A detail says that the tandem sent the contact back because the destination's processor was full.
            case 2 -> reasonCode >= MIN_REASON_DETAIL ? RejectionReason.BEYOND_FULL : RejectionReason.TANDEM;
            case 3 -> RejectionReason.PROCESSOR;
            case 4 -> RejectionReason.LINES_BUSY;
            default -> RejectionReason.NONE;
        };
        RingEnd end = new RingEnd(contact, ringNumber, target, cause, rejectionReason, elapsed, answered, report);
        deliver(instanceId, controller -> controller.ringEnded(now, end));
    }

    /** Reads the identifier of a switch: six bytes, the most significant first. */
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
                    "text of " + Integer.toUnsignedString(length) + " bytes does not fit its batch",
                    batchNumber,
                    recordStart);
        }
        byte[] bytes = new byte[length];
        records.get(bytes);
        return bytes;
    }
}
