package org.quetzalshunt.wire.document;

/**
 * One validation error of a document.
 *
 * @param line line in the text, counted from 1
 * @param path path of the field, such as {@code accounts[2].burst}; empty if the error concerns the whole document
 * @param expected description of a valid value
 */
public record DocumentError(int line, String path, String expected) {
    @Override
    public String toString() {
        return "line " + line + (path.isEmpty() ? "" : ", " + path) + ": expected " + expected;
    }
}
