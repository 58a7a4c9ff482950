#pragma once

// Errors as values and everything in the header: the shared library is built with exceptions.
#define TOML_EXCEPTIONS 0
#define TOML_HEADER_ONLY 1
// Some malformed keys fail an assertion of the parser before its own check reports them: in a build
// with assertions a wrong file would end the process. Without them the check is reached.
#define TOML_ASSERT(expr) static_assert(true)
#include <toml++/toml.h>
