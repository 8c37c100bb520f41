package martenslip.sip.transport;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertNull;
import static org.testng.Assert.assertTrue;

import java.lang.ref.WeakReference;
import java.util.function.Consumer;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

/** What a revocable message keeps once its fate is decided. */
public class RevocableMessageTest {
    private static final int MAX_COLLECTIONS = 50;

    @DataProvider
    public Object[][] decisions() {
        Consumer<RevocableMessage> write = message -> assertEquals(message.bytes().length, 3);
        Consumer<RevocableMessage> revoke = message -> assertTrue(message.revoke());
        return new Object[][] {{write}, {revoke}};
    }

    /** Guards against report 9d16c4: each established contact kept the description of its START, up to 16 KB. */
    @Test(dataProvider = "decisions", timeOut = 20_000)
    public void aMessageThatIsWrittenOrRevokedKeepsNothingOfItsContent(Consumer<RevocableMessage> decision)
            throws InterruptedException {
        byte[] content = {1, 2, 3};
        WeakReference<byte[]> reference = new WeakReference<>(content);
        RevocableMessage message = message(content);
        content = null;
        decision.accept(message);
        for (int i = 0; i < MAX_COLLECTIONS && reference.get() != null; i++) {
            System.gc();
            Thread.sleep(10);
        }
        assertNull(reference.get(), "still reachable while the message is kept");
        assertEquals(message.size(), 3);
    }

    private static RevocableMessage message(byte[] content) {
        return new RevocableMessage(content.length, () -> content, () -> {});
    }
}
