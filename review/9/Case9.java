import java.util.concurrent.atomic.AtomicBoolean;
import java.util.concurrent.atomic.AtomicReference;

/** A client's connection rests and ends; its call's release goes to another client, who does not know the call. */
public final class Case9 {
    public static void main(String[] arguments) {
        Lab.main(arguments[0], 100, lab -> {
            Lab.Journal journal = lab.new Journal();
            Lab.Switch home = lab.new Switch("s-0", 0);
            Lab.Switch one = lab.new Switch("s-1", 1);
            Lab.Switch two = lab.new Switch("s-2", 2);
            journal.list(true, home.entry("up", 0), one.entry("up", 0), two.entry("up", 0));
            lab.configure(journal, 256, 192);
            lab.startController();
            Lab.Client a = lab.client("client A");
            Lab.Client b = lab.client("client B");
            Lab.Client.Line first = a.open();
            String call = first.invite("label-status", 1, 3000);
            if (!lab.await(3500, () -> "200".equals(a.answers.get(call)))) {
                return Lab.COULD_NOT_RUN;
            }
            // Client B goes on making short calls; its switch ends them.
            AtomicBoolean stop = new AtomicBoolean();
            AtomicReference<Exception> fault = new AtomicReference<>();
            Lab.Client.Line lineB = b.open();
            Thread traffic = new Thread(() -> {
                try {
                    while (!stop.get()) {
                        String tag = lineB.invite("pickup-slot", 2, 3000);
                        lab.await(3500, () -> b.answers.containsKey(tag));
                        Lab.sleep(1000);
                        two.release(tag, 16);
                        Lab.sleep(1000);
                    }
                } catch (Exception e) {
                    fault.set(e);
                }
            });
            traffic.setDaemon(true);
            traffic.start();
            Lab.Client.Line last = first;
            if (lab.trouble) {
                lab.note("client A's connection rests from here on");
                if (!lab.await(40_000, () -> first.ended)) {
                    lab.note("the resting connection was not ended");
                    first.close();
                }
                last = a.open();
                lab.note("client A opens another connection");
            } else {
                Lab.sleep(10_000);
            }
            String further = last.invite("label-status", 1, 3000);
            lab.await(3500, () -> a.answers.containsKey(further));
            Lab.sleep(1200);
            one.release(call, 16);
            lab.await(8050, () -> a.releasedAtMs.containsKey(call));
            Lab.Client.Line current = last;
            lab.note("the call " + call + " ended at its switch; client A, whose connection is "
                    + (current.ended ? "ended" : "open") + ", was "
                    + (a.releasedAtMs.containsKey(call) ? "told" : "never told") + "; owed by the switch: " + one.owed.keySet());
            stop.set(true);
            if (fault.get() != null) {
                lab.note("client B: " + fault.get());
                return Lab.COULD_NOT_RUN;
            }
            return a.releasedAtMs.containsKey(call) ? Lab.HELD : Lab.BROKEN;
        });
    }
}
