package org.quetzalshunt.wire.document;

/**
 * One thing wrong with a document.
 *
 * @param line line in the text, from 1
 * @param path place in the document, such as {@code accounts[2].burst}; empty for the whole
 * @param expected what should stand there
 */
public record DocumentError(int line, String path, String expected) {
    @Override
    public String toString() {
        return "line " + line + (path.isEmpty() ? "" : ", " + path) + ": expected " + expected;
    }
}
