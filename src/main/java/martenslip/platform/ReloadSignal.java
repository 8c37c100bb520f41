package martenslip.platform;

import java.util.concurrent.atomic.AtomicBoolean;
import java.util.concurrent.atomic.AtomicReference;

/**
 * SIGHUP from the first moment on. One that comes while the file is being read for the start may or may not have been
 * in time for that, so it is looked at again once service has begun; none is lost between two lines.
 */
public final class ReloadSignal {
    private final AtomicReference<Runnable> reloadAction = new AtomicReference<>();
    private final AtomicBoolean isRequested = new AtomicBoolean();

    /** The signal. Any thread. */
    public void request() {
        isRequested.set(true);
        runIfRequested();
    }

    /** Service has begun, and this is what a reload does. */
    public void start(Runnable reload) {
        reloadAction.set(reload);
        runIfRequested();
    }

    /** Whoever of the two comes last sees both. */
    private void runIfRequested() {
        Runnable reload = reloadAction.get();
        if (reload != null && isRequested.getAndSet(false)) {
            reload.run();
        }
    }
}
