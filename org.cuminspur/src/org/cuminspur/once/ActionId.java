package org.cuminspur.once;

import org.cuminspur.id.AccountId;
import org.cuminspur.id.IdempotencyKey;
import org.cuminspur.id.RouteId;

/** Identifies an action that must run at most once; immutable, with value equality. */
public record ActionId(AccountId account, RouteId route, IdempotencyKey key) {
    /** Returns a text form that is unique to this action. */
    public String canonicalText() {
        return account.value().length() + ":" + account + route.value().length() + ":" + route + key;
    }
}
