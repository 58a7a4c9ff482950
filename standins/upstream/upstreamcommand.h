#pragma once

namespace ivyspar::lab {

/// `ivyspar-lab upstreams`: stand-in servers in one process, with a control endpoint:
/// `POST /behaviour?server=NAME` changes how one (or, without a name, each) behaves,
/// `GET /executions` lists what was started, a line `service token` each,
/// `GET /starts` the same as `server service path token`, and `POST /daemon?server=NAME` with an
/// `IP:PORT` tells a server that the daemon of its host listens there now.
int runUpstreams(int argc, char **argv);

} // namespace ivyspar::lab
