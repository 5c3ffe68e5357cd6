package org.quetzalshunt.core.turn;

import java.util.List;

/**
 * Assembles the prompt of a turn: inputs and outputs of the previous turns, oldest first, then the input of the turn.
 */
public final class TurnPrompt {
    private TurnPrompt() {}

    /**
     * Returns the concatenated prompt.
     *
     * @param previousTurns previous turns of the program, oldest first
     * @param input input of the new turn
     */
    public static byte[] assemble(List<TurnRecord> previousTurns, byte[] input) {
        int length = input.length;
        for (TurnRecord turn : previousTurns) {
            length += turn.input().length + turn.output().length;
        }
        byte[] prompt = new byte[length];
        int position = 0;
        for (TurnRecord turn : previousTurns) {
            position = copy(turn.input(), prompt, position);
            position = copy(turn.output(), prompt, position);
        }
        copy(input, prompt, position);
        return prompt;
    }

    private static int copy(byte[] source, byte[] target, int position) {
        System.arraycopy(source, 0, target, position, source.length);
        return position + source.length;
    }
}
