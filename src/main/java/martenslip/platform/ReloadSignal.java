package martenslip.platform;

import java.util.concurrent.atomic.AtomicBoolean;
import java.util.concurrent.atomic.AtomicReference;

/**
 * SIGHUP from the first moment on. One that comes while the file is being read for the start may or may not have been
 * in time for that, so it is looked at again once service has begun; none is lost between two lines.
 */
public final class ReloadSignal {
    private final AtomicReference<Runnable> serving = new AtomicReference<>();
    private final AtomicBoolean asked = new AtomicBoolean();

    /** The signal. Any thread. */
    public void request() {
        asked.set(true);
        go();
    }

    /** Service has begun, and this is what a reload does. */
    public void start(Runnable reload) {
        serving.set(reload);
        go();
    }

    /** Whoever of the two comes last sees both. */
    private void go() {
        Runnable reload = serving.get();
        if (reload != null && asked.getAndSet(false)) {
            reload.run();
        }
    }
}
