package martenslip.exchange;

import static org.testng.Assert.assertEquals;

import ch.qos.logback.classic.Level;
import ch.qos.logback.classic.Logger;
import ch.qos.logback.classic.spi.ILoggingEvent;
import ch.qos.logback.core.AppenderBase;
import java.util.ArrayList;
import java.util.List;
import java.util.Queue;
import java.util.concurrent.ConcurrentLinkedQueue;
import java.util.concurrent.CyclicBarrier;
import martenslip.control.Moment;
import org.slf4j.LoggerFactory;
import org.testng.annotations.Test;

public class EventLogTest {
    private static final int THREADS = 8;
    private static final int KINDS = 4000;

    /** The lanes and the decider of an exchange have one log in common. */
    @Test
    public void threadsWriteAtOnceAndTheLimitHoldsForAllOfThem() throws InterruptedException {
        Logger logger = (Logger) LoggerFactory.getLogger("martenslip.exchange");
        Queue<String> lines = new ConcurrentLinkedQueue<>();
        AppenderBase<ILoggingEvent> all = new AppenderBase<>() {
            @Override
            protected void append(ILoggingEvent event) {
                lines.add(event.getMessage());
            }
        };
        all.start();
        logger.addAppender(all);
        logger.setAdditive(false);
        logger.setLevel(Level.INFO);
        Queue<Throwable> faults = new ConcurrentLinkedQueue<>();
        try {
            write(new EventLog(0), faults);
        } finally {
            logger.detachAppender(all);
            logger.setAdditive(true);
            logger.setLevel(null);
        }
        assertEquals(List.copyOf(faults), List.of());
        assertEquals(lines.stream().filter("often"::equals).count(), 20);
        assertEquals(lines.stream().distinct().count(), KINDS + 1);
    }

    private static void write(EventLog log, Queue<Throwable> faults) throws InterruptedException {
        CyclicBarrier start = new CyclicBarrier(THREADS);
        List<Thread> threads = new ArrayList<>();
        for (int i = 0; i < THREADS; i++) {
            Thread thread = new Thread(() -> {
                try {
                    start.await();
                    for (int kind = 0; kind < KINDS; kind++) {
                        log.info(new Moment(0), "kind " + kind);
                        log.warn(new Moment(0), "often");
                    }
                } catch (Exception e) {
                    faults.add(e);
                }
            });
            threads.add(thread);
            thread.start();
        }
        for (Thread thread : threads) {
            thread.join();
        }
    }
}
