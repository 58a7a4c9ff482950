#include <cstdio>

#include "app/internal/commands/commands.h"
#include "app/internal/settings/flags.h"
#include "app/internal/settings/flagset.h"
#include "state/accounts.h"

namespace ivyspar {

namespace {

const char HELP[] = R"(Usage: ivyspar key [flags]

Generates a key for a client account, and its hash for `keys` in the rules. The key is shown only
once: give it to the account's callers, who send it in the header Ivyspar-Key. Without --salt, a
new salt is generated: set it as `key_salt` in the rules, and pass it with --salt in later calls of
this command.

Example:
  ivyspar key --salt=5f0c2f6d0f1b4a9e8c7d6e5f4a3b2c1d

Flags:
)";

const FlagSet &keyFlags()
{
    static const FlagSet FLAGS({ "salt" });
    return FLAGS;
}

} // namespace

int runKeyCommand(const Arguments &arguments)
{
    const ParsedFlags parsed = keyFlags().parse(arguments, processEnvironment);
    if (parsed.isHelpWanted) {
        std::printf("%s%s", HELP, keyFlags().help().c_str());
        return 0;
    }
    std::vector<std::string> errors = parsed.errors;
    const auto salt = FLAGS_salt.empty() ? std::optional(makeKeySalt()) : digestFromHex(FLAGS_salt);
    if (!salt) {
        errors.emplace_back("--salt: 32 hexadecimal digits are needed");
    }
    if (!parsed.operands.empty()) {
        errors.emplace_back("unexpected argument \"" + parsed.operands.front() + '"');
    }
    if (!errors.empty()) {
        return reportUsageErrors("key", errors);
    }
    const AccountKey key = makeAccountKey();
    std::printf("key      %s\nhash     %s\nkey_salt %s\n", key.value().c_str(),
                toHex(digestOf(key, *salt)).c_str(), toHex(*salt).c_str());
    return 0;
}

} // namespace ivyspar
