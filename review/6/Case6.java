import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Queue;
import java.util.concurrent.ConcurrentLinkedQueue;
import java.util.concurrent.ThreadLocalRandom;
import java.util.concurrent.atomic.AtomicBoolean;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.concurrent.atomic.AtomicLong;
import java.util.stream.Stream;

/** Usual clients beside 330 connections of bad clients that send set-ups at full speed and read what comes. */
public final class Case6 {
    private static final int BAD_CONNECTIONS = 330;
    private static final int USUAL_CLIENTS = 6;
    private static final int WITHIN_MS = 2000;
    /** Half a second after its time an answer is lost; 50 ms of slack on sockets. */
    private static final int LOST_AFTER_MS = WITHIN_MS + 500 + 50;
    private static final int TROUBLE_MS = 24_000;
    /** Beyond the 0.5 s and the 50 ms of the rule: for the stand-ins themselves, which share the machine. */
    private static final int OWN_DELAY_MS = 450;

    private static String hex() {
        return String.format("%016x", ThreadLocalRandom.current().nextLong());
    }

    /** A bad client's connection: twenty set-ups in one piece, again and again, each with a new id and number. */
    private static void flood(Lab lab, AtomicBoolean stop, AtomicLong sent) {
        while (!stop.get()) {
            try (Socket socket = new Socket()) {
                socket.connect(new InetSocketAddress("127.0.0.1", lab.controllerPort), 3000);
                Thread reader = new Thread(null, () -> drain(socket), "bad-in", 96 * 1024);
                reader.setDaemon(true);
                reader.start();
                OutputStream out = socket.getOutputStream();
                while (!stop.get()) {
                    StringBuilder text = new StringBuilder(6000);
                    for (int i = 0; i < 20; i++) {
                        text.append(Lab.setUp(hex(), hex(), "label-status", 9000, "dest:" + (1 + i % 3) + ";width:1;via:-1", "x\r\n"));
                    }
                    out.write(text.toString().getBytes(StandardCharsets.US_ASCII));
                    sent.addAndGet(20);
                }
            } catch (IOException e) {
                pause(20);
            }
        }
    }

    private static void drain(Socket socket) {
        byte[] buffer = new byte[8192];
        try {
            InputStream in = socket.getInputStream();
            while (in.read(buffer) >= 0) {
                // Read, as the page says of bad clients.
            }
        } catch (IOException e) {
            return;
        }
    }

    private static void pause(long ms) {
        try {
            Thread.sleep(ms);
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }

    /** Processor time of the collector's thread so far, in milliseconds; -1 where it is not to be had. */
    private static long collectorMs(Lab lab) {
        try (Stream<Path> threads = Files.list(Path.of("/proc", Long.toString(lab.pid()), "task"))) {
            for (Path thread : threads.toList()) {
                String stat = Files.readString(thread.resolve("stat"));
                if (stat.contains("(VM Thread)")) {
                    String[] fields = stat.substring(stat.lastIndexOf(')') + 2).split(" ");
                    return 10 * (Long.parseLong(fields[11]) + Long.parseLong(fields[12]));
                }
            }
        } catch (IOException e) {
            return -1;
        }
        return -1;
    }

    public static void main(String[] arguments) {
        Lab.main(arguments[0], 110, lab -> {
            Lab.Journal journal = lab.new Journal();
            String[] entries = new String[4];
            for (int i = 0; i < entries.length; i++) {
                Lab.Switch sw = lab.new Switch("s-" + i, i);
                sw.quiet = true;
                entries[i] = sw.entry("up", 0);
            }
            journal.list(true, entries);
            lab.configure(journal, 1024, 192);
            lab.startController();
            AtomicBoolean stop = new AtomicBoolean();
            AtomicBoolean badStop = new AtomicBoolean();
            AtomicInteger asked = new AtomicInteger();
            AtomicInteger answered = new AtomicInteger();
            AtomicInteger served = new AtomicInteger();
            Queue<String> lost = new ConcurrentLinkedQueue<>();
            List<Thread> usual = new ArrayList<>();
            for (int i = 0; i < USUAL_CLIENTS; i++) {
                int number = i;
                Thread client = new Thread(() -> {
                    while (!stop.get()) {
                        try {
                            Lab.Client caller = lab.client("usual-" + number);
                            caller.quiet = true;
                            Lab.Client.Line line = caller.open();
                            String tag = line.invite("pickup-slot", 1 + number % 3, WITHIN_MS);
                            double sentAt = lab.elapsedMs();
                            asked.incrementAndGet();
                            lab.await(LOST_AFTER_MS + OWN_DELAY_MS, () -> caller.answers.containsKey(tag) || line.ended);
                            String status = caller.answers.get(tag);
                            if (status == null) {
                                lost.add(tag);
                                lab.note("usual-" + number + ": " + tag + " has no answer after "
                                        + Math.round(lab.elapsedMs() - sentAt) + " ms; connection "
                                        + (line.ended ? "ended" : "open"));
                            } else {
                                answered.incrementAndGet();
                                if (status.equals("200")) {
                                    served.incrementAndGet();
                                    Lab.sleep(50);
                                    line.bye(tag);
                                    Lab.sleep(20);
                                }
                            }
                            line.close();
                            Lab.sleep(100);
                        } catch (IOException e) {
                            lab.note("usual-" + number + ": " + e);
                            pause(200);
                        } catch (Exception e) {
                            return;
                        }
                    }
                });
                client.setDaemon(true);
                client.start();
                usual.add(client);
            }
            Lab.sleep(3000);
            lab.note("before: asked " + asked + ", answered " + answered + ", served " + served + ", lost " + lost.size());
            if (served.get() < 20 || !lost.isEmpty()) {
                lab.note("the calm part went wrong");
                return Lab.COULD_NOT_RUN;
            }
            AtomicLong sent = new AtomicLong();
            for (int i = 0; lab.trouble && i < BAD_CONNECTIONS; i++) {
                Thread bad = new Thread(null, () -> flood(lab, badStop, sent), "bad-out", 96 * 1024);
                bad.setDaemon(true);
                bad.start();
            }
            long collector = collectorMs(lab);
            for (int i = 0; i < TROUBLE_MS / 2000; i++) {
                Lab.sleep(2000);
                long now = collectorMs(lab);
                lab.note("asked " + asked + ", answered " + answered + ", served " + served + ", lost " + lost.size()
                        + "; bad set-ups written " + sent + ", controller " + lab.statusKb("VmRSS") / 1024 + " MB, "
                        + lab.descriptors() + " descriptors, collector " + (now - collector) + " ms of 2000, alive "
                        + lab.controllerIsAlive());
                collector = now;
            }
            badStop.set(true);
            stop.set(true);
            lab.note("bad clients end");
            for (Thread client : usual) {
                client.join(LOST_AFTER_MS + 2000);
            }
            lab.note("in all: asked " + asked + ", answered " + answered + ", served " + served + ", lost " + lost.size());
            return !lab.controllerIsAlive() || !lost.isEmpty() ? Lab.BROKEN : Lab.HELD;
        });
    }
}
