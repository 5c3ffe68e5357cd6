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

/** Reads plain and gzip logs line by line. Lines that are too long or cannot be decoded are counted and skipped. */
final class LogFiles {
    private static final int BUFFER_BYTES = 256 * 1024;
    private static final int MAXIMUM_LINE_BYTES = 64 * 1024;
    private static final int GZIP_FIRST_BYTE = 0x1f;
    private static final int GZIP_SECOND_BYTE = 0x8b;

    private final List<Path> files;
    private final Consumer<Path> fileListener;
    private long lines;
    private long undecodable;

    /**
     * @param fileListener is called with each file before it is read, to show progress
     */
    LogFiles(List<Path> files, Consumer<Path> fileListener) {
        this.files = List.copyOf(files);
        this.fileListener = fileListener;
    }

    /** Number of lines in the last call of {@link #read}. */
    long linesRead() {
        return lines;
    }

    /** Number of lines in the last call of {@link #read} that were too long or could not be decoded. */
    long undecodableLines() {
        return undecodable;
    }

    /**
     * Reads all files in the given order.
     *
     * @param lineFilter predicate on the raw text of a line; lines that do not match are skipped without decoding
     * @throws IOException if a file cannot be read to its end
     */
    void read(Predicate<String> lineFilter, Consumer<LogLine> listener) throws IOException {
        lines = 0;
        undecodable = 0;
        for (Path file : files) {
            fileListener.accept(file);
            try (InputStream input = open(file)) {
                read(input, lineFilter, listener);
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

    private void read(InputStream input, Predicate<String> lineFilter, Consumer<LogLine> listener) throws IOException {
        ByteArrayOutputStream line = new ByteArrayOutputStream();
        boolean tooLong = false;
        int octet = input.read();
        while (octet >= 0) {
            if (octet == '\n') {
                finishLine(line, tooLong, lineFilter, listener);
                tooLong = false;
            } else if (line.size() < MAXIMUM_LINE_BYTES) {
                line.write(octet);
            } else {
                tooLong = true;
            }
            octet = input.read();
        }
        if (line.size() > 0) {
            finishLine(line, tooLong, lineFilter, listener);
        }
    }

    private void finishLine(
            ByteArrayOutputStream line, boolean tooLong, Predicate<String> lineFilter, Consumer<LogLine> listener) {
        lines++;
        String text = line.toString(StandardCharsets.UTF_8);
        line.reset();
        if (tooLong) {
            undecodable++;
            return;
        }
        if (text.isBlank() || !lineFilter.test(text)) {
            return;
        }
        Optional<LogLine> decoded = LogLine.parse(text);
        if (decoded.isEmpty()) {
            undecodable++;
            return;
        }
        listener.accept(decoded.get());
    }
}
