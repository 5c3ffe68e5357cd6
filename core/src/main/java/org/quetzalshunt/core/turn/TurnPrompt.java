package org.quetzalshunt.core.turn;

import java.util.List;

/**
 * Assembles the prompt of a turn: inputs and outputs of the previous turns, oldest first, then the input of the turn.
 */
public final class TurnPrompt {
    private TurnPrompt() {}

    /**
     * Assembles the whole prompt.
     *
     * @param chain the previous turns, oldest first
     */
    public static byte[] assemble(List<TurnRecord> chain, byte[] input) {
        int length = input.length;
        for (TurnRecord turn : chain) {
            length += turn.input().length + turn.output().length;
        }
        byte[] prompt = new byte[length];
        int position = 0;
        for (TurnRecord turn : chain) {
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
