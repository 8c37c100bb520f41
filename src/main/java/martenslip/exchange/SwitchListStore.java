package martenslip.exchange;

import java.io.IOException;
import java.nio.file.AtomicMoveNotSupportedException;
import java.nio.file.Files;
import java.nio.file.NoSuchFileException;
import java.nio.file.Path;
import java.nio.file.StandardCopyOption;
import java.util.function.Consumer;

/**
 * Keeps the last full switch list on disk for a restart. A thread of its own writes, so a slow disk delays nothing;
 * only the newest list waits to be written. A crash leaves the old file or the new one, never a part.
 */
final class SwitchListStore implements AutoCloseable {
    /** The 4,096 entries that the schema allows take a quarter of this. */
    static final int MAX_FILE_BYTES = 4 << 20;

    private final Path file;
    private final Consumer<String> warningHandler;
    private final Thread writerThread;
    private byte[] pendingList;
    private boolean closing;

    SwitchListStore(Path file, Consumer<String> warningHandler) {
        this.file = file;
        this.warningHandler = warningHandler;
        writerThread = new Thread(null, this::writePendingLists, "kept-list", 256 * 1024);
        writerThread.setDaemon(true);
        writerThread.start();
    }

    /** The stored list, or null if there is no file yet. Throws if the file is too large or cannot be read. */
    byte[] read() throws IOException {
        try {
            if (Files.size(file) > MAX_FILE_BYTES) {
                throw new IOException("file is larger than " + MAX_FILE_BYTES + " bytes");
            }
            return Files.readAllBytes(file);
        } catch (NoSuchFileException e) {
            return null;
        }
    }

    /** Queues a list for writing in place of one that is still waiting. */
    synchronized void save(byte[] switchList) {
        pendingList = switchList;
        notifyAll();
    }

    private void writePendingLists() {
        try {
            for (byte[] switchList = takePendingList(); switchList != null; switchList = takePendingList()) {
                write(switchList);
            }
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }

    private synchronized byte[] takePendingList() throws InterruptedException {
        while (pendingList == null && !closing) {
            wait();
        }
        byte[] switchList = pendingList;
        pendingList = null;
        return switchList;
    }

    private void write(byte[] switchList) {
        try {
            Files.createDirectories(file.toAbsolutePath().getParent());
            Path temporaryFile = file.resolveSibling(file.getFileName() + ".new");
            Files.write(temporaryFile, switchList);
            try {
                Files.move(temporaryFile, file, StandardCopyOption.ATOMIC_MOVE);
            } catch (AtomicMoveNotSupportedException e) {
                Files.move(temporaryFile, file, StandardCopyOption.REPLACE_EXISTING);
            }
        } catch (IOException | RuntimeException e) {
            // The thread goes on after any failure: otherwise no later list would be saved, and without a report.
            warningHandler.accept("switch list not saved to " + file + ": " + e);
        }
    }

    @Override
    public void close() throws InterruptedException {
        synchronized (this) {
            closing = true;
            notifyAll();
        }
        writerThread.join(2_000);
    }
}
