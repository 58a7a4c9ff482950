#pragma once

namespace ivyspar::lab {

/// `ivyspar-lab demo`: starts a deployment on loopback, sends requests through its daemons and
/// prints a table. Exit code 0 only if every answer was the whole answer to its own request.
int runDemo(int argc, char **argv);

} // namespace ivyspar::lab
