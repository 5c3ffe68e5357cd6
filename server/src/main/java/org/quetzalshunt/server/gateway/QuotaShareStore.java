package org.quetzalshunt.server.gateway;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.function.Consumer;
import org.quetzalshunt.core.quota.QuotaShare;
import org.quetzalshunt.core.quota.ShareStore;
import org.quetzalshunt.core.store.AppendAnswer;
import org.quetzalshunt.core.store.MapEntry;
import org.quetzalshunt.core.store.RangeAnswer;
import org.quetzalshunt.wire.record.StoredRecords;

/** Reads and writes quota shares as records of the store, with the key "account/VM". */
final class QuotaShareStore implements ShareStore {
    private static final char SEPARATOR = '/';

    private final StoreClient store;

    QuotaShareStore(StoreClient store) {
        this.store = store;
    }

    @Override
    public void read(String account, Consumer<Optional<Page>> listener) {
        String prefix = account + SEPARATOR;
        store.range(Shards.ofQuota(account), prefix, answer -> {
            if (!(answer instanceof RangeAnswer.Page page)) {
                listener.accept(Optional.empty());
                return;
            }
            Map<String, QuotaShare> shares = new HashMap<>();
            for (MapEntry entry : page.entries()) {
                if (!entry.key().startsWith(prefix)) {
                    break;
                }
                String vm = entry.key().substring(prefix.length());
                entry.value().flatMap(StoredRecords::quotaShare).ifPresent(share -> shares.put(vm, share));
            }
            listener.accept(Optional.of(new Page(shares, page.end())));
        });
    }

    @Override
    public void write(
            String account,
            Map<String, Optional<QuotaShare>> changes,
            long expectedEnd,
            Consumer<WriteResult> listener) {
        List<MapEntry> entries = new ArrayList<>();
        changes.forEach((vm, share) -> entries.add(entry(account + SEPARATOR + vm, share)));
        store.append(
                Shards.ofQuota(account),
                entries,
                OptionalLong.of(expectedEnd),
                answer -> listener.accept(toWriteResult(answer)));
    }

    private static MapEntry entry(String key, Optional<QuotaShare> share) {
        return share.map(present -> MapEntry.of(key, StoredRecords.encode(present)))
                .orElseGet(() -> MapEntry.removal(key));
    }

    private static WriteResult toWriteResult(AppendAnswer answer) {
        if (answer instanceof AppendAnswer.Appended) {
            return WriteResult.WRITTEN;
        }
        return answer instanceof AppendAnswer.Conflict ? WriteResult.CONFLICT : WriteResult.UNKNOWN;
    }
}
