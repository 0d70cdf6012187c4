@0xbf5147bb3a1f8d01;
# Datagrams of the packet path, balancer -> side process -> side process.

struct Candidate {
  id @0 :UInt64;       # xxh64 of the target's identifier
  address @1 :UInt32;  # IPv4 address of the side process
  port @2 :UInt16;     # UDP port of the packet path
}

struct Route {
  service @0 :Text;
  revision @1 :UInt64;            # configuration revision of the sender
  candidates @2 :List(Candidate); # may accept a new flow, in rank order
  previous @3 :List(Candidate);   # candidates of the previous view only
}

enum Phase {
  place @0;   # from a balancer to its first candidate
  search @1;  # to each candidate in turn, until one owns the flow
  searched @2;  # back to the origin, without an owner
  accept @3;  # to each candidate in turn, until one accepts the flow
  final @4;   # to the least loaded candidate: accept or refuse
  owned @5;   # directly to the owner
}

struct Envelope {
  phase @0 :Phase;
  position @1 :UInt8;   # index of the receiver in the visiting order
  hops @2 :UInt8;       # passes between side processes so far
  origin @3 :UInt8;     # index of the side process that started the search
  least @4 :UInt8;      # index of the least loaded candidate so far
  leastLoad @5 :UInt32; # its expected time to completion, milliseconds
  decides @6 :Bool;     # whether the origin may place the flow afterwards
  route @7 :Data;       # an encoded Route, shared by many envelopes
  packet @8 :Data;      # the caller's IPv4 packet
  attempt @9 :UInt32;   # number of the origin's placement attempt
}
