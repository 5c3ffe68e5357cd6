package org.quetzalshunt.core.configuration;

/**
 * The outcome of a change of a document.
 *
 * @param accepted whether the change was valid at its position in the stream
 * @param version if accepted, the new version; otherwise the current version at that position, or
 *     {@link ConfigurationChange#NO_VERSION} if there is none
 */
public record ChangeOutcome(boolean accepted, long version) {}
