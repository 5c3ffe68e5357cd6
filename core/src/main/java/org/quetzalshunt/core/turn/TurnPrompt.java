package org.quetzalshunt.core.turn;

import java.util.List;

/** Puts together what an endpoint reads for a turn: the inputs and outputs before it, oldest first, then its input. */
public final class TurnPrompt {
    private TurnPrompt() {}

    /** The whole prompt. */
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

    private static int copy(byte[] from, byte[] to, int position) {
        System.arraycopy(from, 0, to, position, from.length);
        return position + from.length;
    }
}
