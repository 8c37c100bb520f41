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

/** The rate limit of the event log holds when several threads write at once. */
public class EventLogTest {
    private static final int THREADS = 8;
    private static final int EVENT_COUNT = 4000;

    /** The lanes and the decider of an exchange share one log. */
    @Test
    public void rateLimitHoldsAcrossThreadsThatWriteConcurrently() throws InterruptedException {
        Logger logger = (Logger) LoggerFactory.getLogger("martenslip.exchange");
        Queue<String> lines = new ConcurrentLinkedQueue<>();
        AppenderBase<ILoggingEvent> appender = new AppenderBase<>() {
            @Override
            protected void append(ILoggingEvent event) {
                lines.add(event.getMessage());
            }
        };
        appender.start();
        logger.addAppender(appender);
        logger.setAdditive(false);
        logger.setLevel(Level.INFO);
        Queue<Throwable> failures = new ConcurrentLinkedQueue<>();
        try {
            writeFromAllThreads(new EventLog(0), failures);
        } finally {
            logger.detachAppender(appender);
            logger.setAdditive(true);
            logger.setLevel(null);
        }
        assertEquals(List.copyOf(failures), List.of());
        assertEquals(lines.stream().filter("often"::equals).count(), 20);
        assertEquals(lines.stream().distinct().count(), EVENT_COUNT + 1);
    }

    private static void writeFromAllThreads(EventLog log, Queue<Throwable> failures) throws InterruptedException {
        CyclicBarrier start = new CyclicBarrier(THREADS);
        List<Thread> threads = new ArrayList<>();
        for (int i = 0; i < THREADS; i++) {
            Thread thread = new Thread(() -> {
                try {
                    start.await();
                    for (int event = 0; event < EVENT_COUNT; event++) {
                        log.info(new Moment(0), "kind " + event);
                        log.warn(new Moment(0), "often");
                    }
                } catch (Exception e) {
                    failures.add(e);
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
