package org.quetzalshunt.core.admission;

import java.util.Optional;

/**
 * What the owner of a quota share knows of a request that needs a token. The values come from callers and peers, so
 * names are cut and the urgency is bounded.
 *
 * @param program program that the request belongs to; empty outside programs
 * @param startedKind kind of the program that the request starts; empty if it starts none
 * @param urgency urgency of the program that the request starts, 0 being the most urgent
 */
public record ProgramRequest(Optional<String> program, Optional<String> startedKind, int urgency) {
    /** A request outside programs, or of a gateway that sends no names of programs. */
    public static final ProgramRequest NONE = new ProgramRequest(Optional.empty(), Optional.empty(), 0);

    /** Number of urgencies; all from the last one on count alike. */
    static final int URGENCIES = 16;

    private static final int MAXIMUM_NAME_LENGTH = 96;

    public ProgramRequest {
        program = program.map(ProgramRequest::cut);
        startedKind = startedKind.map(ProgramRequest::cut);
        urgency = Math.max(0, Math.min(URGENCIES - 1, urgency));
    }

    private static String cut(String name) {
        return name.length() > MAXIMUM_NAME_LENGTH ? name.substring(0, MAXIMUM_NAME_LENGTH) : name;
    }

    /** The same request as one of a running program. */
    public ProgramRequest ofRunningProgram() {
        return new ProgramRequest(program, Optional.empty(), urgency);
    }

    /** Whether the request is the first turn of a named program. */
    public boolean startsProgram() {
        return program.isPresent() && startedKind.isPresent();
    }
}
