import java.util.concurrent.atomic.AtomicBoolean;

/** A client makes a single request and keeps its connection for good; its call lasts longer than 20 s. */
public final class Case10 {
    public static void main(String[] arguments) {
        Lab.main(arguments[0], 100, lab -> {
            Lab.Journal journal = lab.new Journal();
            Lab.Switch home = lab.new Switch("s-0", 0);
            Lab.Switch one = lab.new Switch("s-1", 1);
            journal.list(true, home.entry("up", 0), one.entry("up", 0));
            lab.configure(journal, 256, 192);
            lab.startController();
            Lab.Client client = lab.client("client");
            Lab.Client.Line line = client.open();
            String call = line.invite("label-status", 1, 3000);
            if (!lab.await(3500, () -> "200".equals(client.answers.get(call)))) {
                return Lab.COULD_NOT_RUN;
            }
            AtomicBoolean stop = new AtomicBoolean();
            // While its call stands the client wants a connection: it opens another one whenever its own is ended.
            Thread keeper = new Thread(() -> {
                Lab.Client.Line current = line;
                try {
                    while (!stop.get()) {
                        if (current.ended) {
                            current = client.open();
                            lab.note("client: opens another connection");
                        }
                        Lab.sleep(20);
                    }
                } catch (Exception e) {
                    lab.note("client: " + e);
                }
            });
            keeper.setDaemon(true);
            keeper.start();
            Lab.sleep(lab.trouble ? 25_000 : 8_000);
            one.release(call, 16);
            lab.await(8050, () -> client.releasedAtMs.containsKey(call));
            lab.note("the call " + call + " ended at its switch; the client has " + client.lines.size()
                    + " open connection(s) and was " + (client.releasedAtMs.containsKey(call) ? "told" : "never told"));
            stop.set(true);
            return client.releasedAtMs.containsKey(call) ? Lab.HELD : Lab.BROKEN;
        });
    }
}
