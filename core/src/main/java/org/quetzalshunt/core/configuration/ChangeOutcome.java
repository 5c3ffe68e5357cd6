package org.quetzalshunt.core.configuration;

/**
 * What became of a change of a document.
 *
 * @param accepted whether it was valid where it stands in the stream
 * @param version when accepted, its version; otherwise the version in force at that place,
 *     {@link ConfigurationChange#NO_VERSION} for none
 */
public record ChangeOutcome(boolean accepted, long version) {}
