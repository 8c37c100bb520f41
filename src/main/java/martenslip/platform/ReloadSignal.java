package martenslip.platform;

import java.util.concurrent.atomic.AtomicBoolean;
import java.util.concurrent.atomic.AtomicReference;

/**
 * Holds a SIGHUP that arrives before service has begun. The file read at the start may or may not have had the change
 * the signal is about, so it is read again once service has begun. No signal is lost between the two.
 */
public final class ReloadSignal {
    private final AtomicReference<Runnable> reloadAction = new AtomicReference<>();
    private final AtomicBoolean isRequested = new AtomicBoolean();

    /** Called for each SIGHUP; may be called from any thread. */
    public void request() {
        isRequested.set(true);
        runIfRequested();
    }

    /**
     * Called once service has begun.
     *
     * @param reload runs for a signal that has already come and for each later one
     */
    public void start(Runnable reload) {
        reloadAction.set(reload);
        runIfRequested();
    }

    /** Of two racing callers, the later one sees both the request and the action. */
    private void runIfRequested() {
        Runnable reload = reloadAction.get();
        if (reload != null && isRequested.getAndSet(false)) {
            reload.run();
        }
    }
}
