@0xd0a94f6c2be87c55;
# Control datagrams between balancers and side processes.

enum Role {
  balancer @0;
  side @1;
}

enum State {
  cold @0;
  ready @1;
  draining @2;
  leaving @3;
}

enum Health {
  alive @0;
  dead @1;
}

struct Record {
  id @0 :Text;
  incarnation @1 :UInt64;  # start of the process, milliseconds since 1970
  sequence @2 :UInt32;     # raised by the process with each change
  role @3 :Role;
  state @4 :State;
  region @5 :Text;
  zone @6 :Text;           # availability zone
  address @7 :UInt32;
  dataPort @8 :UInt16;
  controlPort @9 :UInt16;
  httpPort @10 :UInt16;
  services @11 :List(Text);
  weight @12 :UInt16;      # relative share of new flows, hundredths
  health @13 :Health;      # as assigned by the sender
  storeLost @14 :Bool;     # whether the store does not answer the process
}

struct Registration {
  key @0 :Data;            # flow key
  incarnation @1 :UInt32;  # of the flow, within its owner
  closing @2 :Bool;        # whether its caller has closed its side
}

struct Control {
  sender @0 :Text;
  incarnation @1 :UInt64;
  counter @2 :UInt64;      # raised with each datagram, to detect replays
  revision @3 :UInt64;     # configuration revision in force at the sender
  digest @4 :UInt64;       # of the sender's membership records
  records @5 :List(Record);
  union {
    none @6 :Void;
    ping @7 :UInt32;             # probe number
    ack @8 :UInt32;
    pingRequest @9 :PingRequest;
    register @10 :Batch;
    registered @11 :UInt32;      # batch number
    release @12 :List(Data);     # flow keys that have ended
    renew @13 :Renewal;
    repeat @14 :UInt32;          # requests all registrations again
  }
  freeSlots @15 :UInt16 = 65535; # of a side process's target; 65535: unknown
  completionMs @16 :UInt32;      # time to completion of a flow accepted now
  evacuations @17 :Evacuations;  # as known to the sender
}

struct Evacuations {
  era @0 :UInt64;       # store era of the revision
  revision @1 :UInt64;  # store revision at which the zones were read; 0: unknown
  zones @2 :List(Text); # evacuated availability zones
}

struct PingRequest {
  probe @0 :UInt32;
  subject @1 :Text;
}

struct Batch {
  number @0 :UInt32;
  service @1 :Text;
  entries @2 :List(Registration);
}

struct Renewal {
  count @0 :UInt32;
  checksum @1 :UInt64;  # exclusive or of the entries' hashes
}
