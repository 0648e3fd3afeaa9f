package org.dogwoodwood.core.configuration;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.assertThatThrownBy;

import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import org.dogwoodwood.core.ErrorCode;
import org.junit.jupiter.api.Test;

/** Guards against a key that identifies no account, or more than one. */
class AccountTests {

    private static final String CLEAR = "gxprymh2rrytapjsujqu";
    private static final AccountKey KEY = AccountKey.fromClearText(CLEAR);

    @Test
    void digestIsSha256AsToolsPrintIt() {
        assertThat(AccountKey.fromClearText("key").digest())
                .isEqualTo("2c70e12b7a0646f92279f427c7b38e7334d8e5389cff167a1dc30e73f826b683");
    }

    /** Guards against a key in clear text in an error message or a listing of differences. */
    @Test
    void clearTextAppearsNowhere() {
        assertThatThrownBy(() -> new AccountKey(CLEAR)).hasMessageNotContaining(CLEAR);
        Configuration with = configuration(account("guides", KEY));
        assertThat(ConfigurationChange.between(configuration(account("guides")), with))
                .singleElement()
                .asString()
                .contains(KEY.digest())
                .doesNotContain(CLEAR);
        assertThat(with.toString()).doesNotContain(CLEAR);
    }

    @Test
    void sameKeyInTwoAccountsIsADuplicate() {
        Configuration configuration = configuration(account("guides", KEY), account("school", KEY));

        assertThat(problems(configuration)).containsExactly(ErrorCode.DUPLICATE_OBJECT);
    }

    @Test
    void classOfAnAccountMustExistAndALimitMustAllowACall() {
        AccountDefinition account =
                new AccountDefinition("guides", Set.of(KEY), Optional.of("nobody"), 10, 0);

        assertThat(problems(configuration(account)))
                .containsExactlyInAnyOrder(
                        ErrorCode.DANGLING_REFERENCE, ErrorCode.CONTRADICTORY_LIMITS);
    }

    @Test
    void directoryFindsOnlyKeysOfItsConfiguration() {
        AccountDirectory directory = AccountDirectory.of(configuration(account("guides", KEY)));

        assertThat(directory.requiresKeys()).isTrue();
        assertThat(directory.accountOf(KEY)).get().matches(found -> found.name().equals("guides"));
        assertThat(directory.accountOf(AccountKey.fromClearText("other"))).isEmpty();
        assertThat(AccountDirectory.of(Configuration.empty()).requiresKeys()).isFalse();
        // All keys revoked: requests still need one.
        assertThat(AccountDirectory.of(configuration(account("guides"))).requiresKeys()).isTrue();
    }

    private static List<ErrorCode> problems(Configuration configuration) {
        return ConfigurationChecker.create().check(configuration).stream()
                .map(ConfigurationProblem::code)
                .toList();
    }

    private static AccountDefinition account(String name, AccountKey... keys) {
        return new AccountDefinition(name, Set.of(keys), Optional.empty(), 0, 0);
    }

    private static Configuration configuration(AccountDefinition... accounts) {
        Map<String, AccountDefinition> byName = new LinkedHashMap<>();
        for (AccountDefinition account : accounts) {
            byName.put(account.name(), account);
        }
        return new Configuration(1, Map.of(), Map.of(), Map.of(), Map.of(), Map.of(), byName);
    }
}
