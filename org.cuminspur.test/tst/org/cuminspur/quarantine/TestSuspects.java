package org.cuminspur.quarantine;

import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.Optional;
import org.cuminspur.id.AccountId;
import org.cuminspur.id.PromptPartId;

/** Identities and suspects of the requests in tests; stateless and thread-safe. */
final class TestSuspects {
    private TestSuspects() {}

    /** Returns the identity of a request that is known by the name of its body. */
    static RequestIdentity identity(String body) {
        return new RequestIdentity(
                "POST", "/path", Optional.of(new AccountId("account")), body.getBytes(StandardCharsets.UTF_8));
    }

    /** Returns the suspects of a request that is known by the name of its body. */
    static Suspects of(String body, PromptPartId... parts) {
        return new Suspects(identity(body), List.of(parts));
    }
}
