#pragma once

// Parse errors are returned, not thrown. Header-only, as the shared library is built with
// exceptions.
#define TOML_EXCEPTIONS 0
#define TOML_HEADER_ONLY 1
// Some malformed keys fail an assertion of the parser before its own check reports them. In a build
// with assertions an invalid file would abort the process.
#define TOML_ASSERT(expr) static_assert(true)
#include <toml++/toml.h>
