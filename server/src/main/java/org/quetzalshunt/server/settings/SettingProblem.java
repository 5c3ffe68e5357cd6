package org.quetzalshunt.server.settings;

/**
 * A setting that is wrong.
 *
 * @param flag flag that sets it
 * @param expected what a right value is
 */
public record SettingProblem(String flag, String expected) {}
