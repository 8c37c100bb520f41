package martenslip.exchange;

import java.io.IOException;
import java.nio.file.AtomicMoveNotSupportedException;
import java.nio.file.Files;
import java.nio.file.NoSuchFileException;
import java.nio.file.Path;
import java.nio.file.StandardCopyOption;
import java.util.function.Consumer;

/**
 * The last whole switch list on disk, for a restart. A thread of its own writes, so a slow disk holds nothing up;
 * only the newest list waits for it. A crash leaves the old file or the new one, never a part.
 */
final class SwitchListStore implements AutoCloseable {
    /** The 4,096 lines that the schema allows take a quarter of this. */
    static final int MOST_BYTES = 4 << 20;

    private final Path file;
    private final Consumer<String> trouble;
    private final Thread thread;
    private byte[] next;
    private boolean closing;

    SwitchListStore(Path file, Consumer<String> trouble) {
        this.file = file;
        this.trouble = trouble;
        thread = new Thread(null, this::work, "kept-list", 256 * 1024);
        thread.setDaemon(true);
        thread.start();
    }

    /** What was kept, or null where there is nothing yet. */
    byte[] read() throws IOException {
        try {
            if (Files.size(file) > MOST_BYTES) {
                throw new IOException("over " + MOST_BYTES + " bytes");
            }
            return Files.readAllBytes(file);
        } catch (NoSuchFileException e) {
            return null;
        }
    }

    synchronized void keep(byte[] list) {
        next = list;
        notifyAll();
    }

    private void work() {
        try {
            for (byte[] list = take(); list != null; list = take()) {
                write(list);
            }
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }

    private synchronized byte[] take() throws InterruptedException {
        while (next == null && !closing) {
            wait();
        }
        byte[] taken = next;
        next = null;
        return taken;
    }

    private void write(byte[] list) {
        try {
            Files.createDirectories(file.toAbsolutePath().getParent());
            Path fresh = file.resolveSibling(file.getFileName() + ".new");
            Files.write(fresh, list);
            try {
                Files.move(fresh, file, StandardCopyOption.ATOMIC_MOVE);
            } catch (AtomicMoveNotSupportedException e) {
                Files.move(fresh, file, StandardCopyOption.REPLACE_EXISTING);
            }
        } catch (IOException | RuntimeException e) {
            // Whatever it was: the thread goes on, or no later list would be kept and nobody told.
            trouble.accept("switch list not kept in " + file + ": " + e);
        }
    }

    @Override
    public void close() throws InterruptedException {
        synchronized (this) {
            closing = true;
            notifyAll();
        }
        thread.join(2_000);
    }
}
