package martenslip.exchange;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertNull;
import static org.testng.Assert.assertThrows;
import static org.testng.Assert.assertTrue;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import java.util.concurrent.CopyOnWriteArrayList;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.Test;

public class SwitchListStoreTest {
    private final List<String> trouble = new CopyOnWriteArrayList<>();
    private Path folder;

    @BeforeMethod
    public void begin() throws IOException {
        trouble.clear();
        folder = Files.createTempDirectory("kept");
    }

    private SwitchListStore at(Path file) {
        return new SwitchListStore(file, trouble::add);
    }

    @Test
    public void theNewestListIsThereAfterTheEnd() throws IOException, InterruptedException {
        Path file = folder.resolve("a/b.xml");
        Files.createDirectories(folder.resolve("a"));
        Files.writeString(folder.resolve("a/b.xml.new"), "half of a");
        try (SwitchListStore kept = at(file)) {
            assertNull(kept.read());
            kept.keep(new byte[] {1});
            kept.keep(new byte[] {2});
        }
        assertEquals(Files.readAllBytes(file), new byte[] {2});
        assertEquals(trouble, List.of());
    }

    @Test
    public void aPlaceThatCannotBeWrittenIsToldAndTheNextListIsTriedAgain() throws IOException, InterruptedException {
        Path inTheWay = Files.writeString(folder.resolve("a"), "a file");
        Path file = folder.resolve("a/b.xml");
        try (SwitchListStore kept = at(file)) {
            kept.keep(new byte[] {1});
            waitFor(1);
            Files.delete(inTheWay);
            kept.keep(new byte[] {2});
        }
        assertEquals(Files.readAllBytes(file), new byte[] {2});
        assertTrue(trouble.get(0).startsWith("switch list not kept in"), trouble.get(0));
    }

    /** A path without a folder above it threw another kind of fault, which ended the thread without a word. */
    @Test
    public void aFaultOfAnotherKindIsToldToo() throws InterruptedException {
        try (SwitchListStore kept = at(Path.of("/"))) {
            kept.keep(new byte[] {1});
            waitFor(1);
            kept.keep(new byte[] {2});
            waitFor(2);
        }
    }

    @Test
    public void whatIsNoListOfThisProgramIsNotRead() throws IOException, InterruptedException {
        Path large = folder.resolve("large");
        Files.write(large, new byte[SwitchListStore.MOST_BYTES + 1]);
        try (SwitchListStore kept = at(large)) {
            assertThrows(IOException.class, kept::read);
        }
        try (SwitchListStore kept = at(folder)) {
            assertThrows(IOException.class, kept::read);
        }
    }

    private void waitFor(int many) throws InterruptedException {
        for (int i = 0; i < 2000 && trouble.size() < many; i++) {
            Thread.sleep(5);
        }
        assertEquals(trouble.size(), many);
    }
}
