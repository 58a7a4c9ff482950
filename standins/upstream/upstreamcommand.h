#pragma once

namespace ivyspar::lab {

/// `ivyspar-lab upstreams`: stand-in servers in one process, with a control endpoint:
/// `POST /behaviour?server=NAME` changes how one (or, without a name, each) behaves,
/// `GET /executions` lists what was started, a line `service token` each.
int runUpstreams(int argc, char **argv);

} // namespace ivyspar::lab
