package org.quetzalshunt.server.settings;

/**
 * An invalid setting.
 *
 * @param flag flag of the setting
 * @param expected description of the valid values
 */
public record SettingProblem(String flag, String expected) {}
