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

/** The stored switch list survives a restart, and failures to write are reported without ending the writer thread. */
public class SwitchListStoreTest {
    private final List<String> warnings = new CopyOnWriteArrayList<>();
    private Path directory;

    @BeforeMethod
    public void createDirectory() throws IOException {
        warnings.clear();
        directory = Files.createTempDirectory("kept");
    }

    private SwitchListStore openStore(Path file) {
        return new SwitchListStore(file, warnings::add);
    }

    @Test
    public void newestListIsOnDiskAfterClose() throws IOException, InterruptedException {
        Path file = directory.resolve("a/b.xml");
        Files.createDirectories(directory.resolve("a"));
        Files.writeString(directory.resolve("a/b.xml.new"), "half of a");
        try (SwitchListStore store = openStore(file)) {
            assertNull(store.read());
            store.save(new byte[] {1});
            store.save(new byte[] {2});
        }
        assertEquals(Files.readAllBytes(file), new byte[] {2});
        assertEquals(warnings, List.of());
    }

    @Test
    public void failedWriteIsReportedAndTheNextListIsWritten() throws IOException, InterruptedException {
        Path blockingFile = Files.writeString(directory.resolve("a"), "a file");
        Path file = directory.resolve("a/b.xml");
        try (SwitchListStore store = openStore(file)) {
            store.save(new byte[] {1});
            waitForWarnings(1);
            Files.delete(blockingFile);
            store.save(new byte[] {2});
        }
        assertEquals(Files.readAllBytes(file), new byte[] {2});
        assertTrue(warnings.get(0).startsWith("switch list not saved to " + file + ": "), warnings.get(0));
    }

    /**
     * A path without a parent directory causes a NullPointerException, which used to end the writer thread without a
     * report.
     */
    @Test
    public void runtimeExceptionInAWriteIsReportedToo() throws InterruptedException {
        try (SwitchListStore store = openStore(Path.of("/"))) {
            store.save(new byte[] {1});
            waitForWarnings(1);
            store.save(new byte[] {2});
            waitForWarnings(2);
        }
    }

    @Test
    public void oversizedFileAndDirectoryAreNotRead() throws IOException, InterruptedException {
        Path oversizedFile = directory.resolve("large");
        Files.write(oversizedFile, new byte[SwitchListStore.MAX_FILE_BYTES + 1]);
        try (SwitchListStore store = openStore(oversizedFile)) {
            assertThrows(IOException.class, store::read);
        }
        try (SwitchListStore store = openStore(directory)) {
            assertThrows(IOException.class, store::read);
        }
    }

    private void waitForWarnings(int count) throws InterruptedException {
        for (int i = 0; i < 2000 && warnings.size() < count; i++) {
            Thread.sleep(5);
        }
        assertEquals(warnings.size(), count);
    }
}
