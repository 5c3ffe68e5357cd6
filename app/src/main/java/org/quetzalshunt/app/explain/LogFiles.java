package org.quetzalshunt.app.explain;

import java.io.BufferedInputStream;
import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.io.InputStream;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import java.util.Optional;
import java.util.function.Consumer;
import java.util.function.Predicate;
import java.util.zip.GZIPInputStream;

/** Reads plain and gzip logs line by line; a line that is too long or cannot be decoded is counted and left out. */
final class LogFiles {
    private static final int BUFFER_BYTES = 256 * 1024;
    private static final int LONGEST_LINE_BYTES = 64 * 1024;
    private static final int GZIP_FIRST_BYTE = 0x1f;
    private static final int GZIP_SECOND_BYTE = 0x8b;

    private final List<Path> files;
    private final Consumer<Path> onFile;
    private long lines;
    private long broken;

    /**
     * Makes a reader.
     *
     * @param onFile receives each file before it is read, for showing progress
     */
    LogFiles(List<Path> files, Consumer<Path> onFile) {
        this.files = List.copyOf(files);
        this.onFile = onFile;
    }

    /** Lines of the last reading. */
    long lines() {
        return lines;
    }

    /** Lines of the last reading that could not be decoded. */
    long broken() {
        return broken;
    }

    /**
     * Reads all files in their order.
     *
     * @param worthDecoding by the line's text, whether it can matter at all
     * @throws IOException if a file cannot be read to its end
     */
    void read(Predicate<String> worthDecoding, Consumer<LogLine> listener) throws IOException {
        lines = 0;
        broken = 0;
        for (Path file : files) {
            onFile.accept(file);
            try (InputStream input = open(file)) {
                read(input, worthDecoding, listener);
            }
        }
    }

    private static InputStream open(Path file) throws IOException {
        InputStream input = new BufferedInputStream(Files.newInputStream(file), BUFFER_BYTES);
        input.mark(2);
        boolean gzip = input.read() == GZIP_FIRST_BYTE && input.read() == GZIP_SECOND_BYTE;
        input.reset();
        return gzip ? new BufferedInputStream(new GZIPInputStream(input, BUFFER_BYTES), BUFFER_BYTES) : input;
    }

    private void read(InputStream input, Predicate<String> worthDecoding, Consumer<LogLine> listener)
            throws IOException {
        ByteArrayOutputStream line = new ByteArrayOutputStream();
        boolean tooLong = false;
        int octet = input.read();
        while (octet >= 0) {
            if (octet == '\n') {
                finish(line, tooLong, worthDecoding, listener);
                tooLong = false;
            } else if (line.size() < LONGEST_LINE_BYTES) {
                line.write(octet);
            } else {
                tooLong = true;
            }
            octet = input.read();
        }
        if (line.size() > 0) {
            finish(line, tooLong, worthDecoding, listener);
        }
    }

    private void finish(
            ByteArrayOutputStream line, boolean tooLong, Predicate<String> worthDecoding, Consumer<LogLine> listener) {
        lines++;
        String text = line.toString(StandardCharsets.UTF_8);
        line.reset();
        if (tooLong) {
            broken++;
            return;
        }
        if (text.isBlank() || !worthDecoding.test(text)) {
            return;
        }
        Optional<LogLine> decoded = LogLine.parse(text);
        if (decoded.isEmpty()) {
            broken++;
            return;
        }
        listener.accept(decoded.get());
    }
}
