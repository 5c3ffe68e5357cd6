package org.quetzalshunt.core.admission;

import java.util.Map;

/**
 * State of the admission of one account's programs at one owner.
 *
 * @param admitted programs started since the owner took its share
 * @param refused first turns refused since then
 * @param refusing whether a first turn was refused recently
 * @param startTokens tokens that programs can still take at their start; negative while a start is being paid off
 * @param runningPrograms programs started here that sent a request recently
 * @param promisedStarts refused first turns for whose return tokens are kept
 * @param tokensPerProgram mean number of tokens that a program takes at this owner, by kind
 */
public record AdmissionStatus(
        long admitted,
        long refused,
        boolean refusing,
        double startTokens,
        int runningPrograms,
        int promisedStarts,
        Map<String, Double> tokensPerProgram) {}
