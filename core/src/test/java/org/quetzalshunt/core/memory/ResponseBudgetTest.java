package org.quetzalshunt.core.memory;

import static com.google.common.truth.Truth.assertThat;

import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

final class ResponseBudgetTest {
    private static final long HEAP_BYTES = 96L << 20;
    private static final long BUDGET_BYTES = HEAP_BYTES / 4;
    private static final int STEP_BYTES = 64 * 1024;

    private final ResponseBudget budget = ResponseBudget.ofHeap(HEAP_BYTES);

    /** Guards against one response that fills the heap. */
    @Test
    void singleResponseIsBounded() {
        ResponseBudget.Account account = budget.open();
        assertThat(account.set(ResponseBudget.MAXIMUM_RESPONSE_BYTES)).isTrue();
        assertThat(account.set(ResponseBudget.MAXIMUM_RESPONSE_BYTES + 1)).isFalse();
    }

    /** Guards against small responses that are ended because others send without end. */
    @ParameterizedTest
    @ValueSource(ints = {3, 10, 100})
    void responsesWithoutEndAreEndedAndSmallOnesAreNot(int endless) {
        List<ResponseBudget.Account> small = new ArrayList<>();
        for (int number = 0; number < 50; number++) {
            small.add(budget.open());
            assertThat(small.get(number).set(2_000)).isTrue();
        }
        List<ResponseBudget.Account> growing = new ArrayList<>();
        for (int number = 0; number < endless; number++) {
            growing.add(budget.open());
        }
        for (long size = STEP_BYTES; !growing.isEmpty(); size += STEP_BYTES) {
            long bytes = size;
            growing.removeIf(account -> !account.set(bytes) && account.set(0));
            small.forEach(account -> assertThat(account.set(2_000)).isTrue());
            assertThat(budget.heldBytes()).isAtMost(BUDGET_BYTES + (long) endless * STEP_BYTES);
        }
    }

    /** Guards against an account that counts after its response has ended. */
    @Test
    void endedResponseHoldsNothing() {
        ResponseBudget.Account account = budget.open();
        account.set(1_000_000);
        account.set(0);
        assertThat(budget.heldBytes()).isEqualTo(0);
    }
}
