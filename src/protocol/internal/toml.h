#pragma once

// Errors as values and everything in the header: the shared library is built with exceptions.
#define TOML_EXCEPTIONS 0
#define TOML_HEADER_ONLY 1
#include <toml++/toml.h>
