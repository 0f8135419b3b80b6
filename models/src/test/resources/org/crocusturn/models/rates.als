/*
 * Rate grants of one workspace with a burst of 2 and a refill of 1 per tick (design page, 5.6). The
 * leader keeps a token bucket and grants tokens to entry hosts, which spend them. Time passes only in
 * a tick, so a window may contain any number of grants and requests. Every step moves a set of
 * tokens; a grant is a set of tokens that moves together. Hosts are not modelled, because it makes no
 * difference which host receives a grant. Expiry has no counter: a token may expire at a host in any
 * step, and the leader stops counting it only after that, which covers all durations for which a
 * grant expires at the host first.
 */
module rates

open util/ordering[Token] as tokens

abstract sig Fault {}
one sig StartsFull, FillsAtOnce, RepeatCountsTwice, CapIgnoresGrants, LateReturnCredited
    extends Fault {}
/** Faults of a broken variant; empty in the correct protocol. */
sig Active in Fault {}

sig Token {}
/** Tokens created so far; tokens are created in order. */
var sig used in Token {}
/** Tokens in the bucket of the current leader. */
var sig bucket in used {}
/** Tokens that the current leader granted and still counts as outstanding. */
var sig counted in used {}
/** Granted tokens that have not expired at the host; the grant may still be in transit. */
var sig valid in used {}
/** Granted tokens that have arrived at a host. */
var sig delivered in used {}
var sig spent in used {}
/** Tokens that the host returned; the leader may learn of this later or never. */
var sig returned in used {}
/** Tokens spent in excess of the refill, in the window ending now that has the most of them. */
var sig excess in used {}

pred atMostBurst[s: set Token] { no disj a, b, c: s | some a }
pred belowBurst[s: set Token] { lone s }
fun fresh: lone Token { tokens/min[Token - used] }
fun outstanding: set Token { CapIgnoresGrants in Active => none else counted }
/** Tokens of earlier leaders that a host may still spend or receive. */
fun earlier: set Token { valid - counted - spent }
fun spendable: set Token { valid & delivered - spent }

pred init {
  bucket = tokens/first + tokens/next[tokens/first]
  used = bucket
  no counted and no valid and no delivered and no spent and no returned and no excess
}

/** One unit of time passes. A new leader does not refill its bucket while tokens of earlier leaders
 * may still be spent. */
pred tick {
  some excess => (some t: excess | excess' = excess - t) else no excess'
  belowBurst[bucket + outstanding] and (no earlier or FillsAtOnce in Active)
    => (bucket' = bucket + fresh and used' = used + fresh)
    else (bucket' = bucket and used' = used)
  counted' = counted and valid' = valid and delivered' = delivered and spent' = spent
  returned' = returned
}

pred grant {
  bucket' in bucket
  counted' = counted + (bucket - bucket')
  valid' = valid + (bucket - bucket')
  used' = used and delivered' = delivered and spent' = spent and returned' = returned
  excess' = excess
}

/** Grants arrive before they expire; a duplicate has no effect. */
pred deliver {
  delivered in delivered'
  delivered' in delivered + valid
  used' = used and bucket' = bucket and counted' = counted and valid' = valid and spent' = spent
  returned' = returned and excess' = excess
}

/** Broken variant only: a duplicate grant adds a token at the host. */
pred deliverAgain {
  RepeatCountsTwice in Active
  some valid & delivered
  used' = used + fresh and valid' = valid + fresh and delivered' = delivered + fresh
  bucket' = bucket and counted' = counted and spent' = spent and returned' = returned
  excess' = excess
}

pred spend {
  spent in spent'
  spent' in spent + spendable
  excess' = excess + (spent' - spent)
  used' = used and bucket' = bucket and counted' = counted and valid' = valid
  delivered' = delivered and returned' = returned
}

/** The leader learns from a report which tokens were spent. */
pred learn {
  counted' in counted
  counted - counted' in spent
  used' = used and bucket' = bucket and valid' = valid and delivered' = delivered
  spent' = spent and returned' = returned and excess' = excess
}

/** A host returns tokens that it does not need. */
pred giveBack {
  valid' in valid
  valid - valid' in spendable
  returned' = returned + (valid - valid')
  used' = used and bucket' = bucket and counted' = counted and delivered' = delivered
  spent' = spent and excess' = excess
}

/** The leader credits returned tokens once, and only while it counts them as outstanding. */
pred credit {
  returned' in returned
  let s = returned - returned' {
    s in counted or LateReturnCredited in Active
    bucket' = bucket + s
    counted' = counted - s
    delivered' = delivered - s
  }
  atMostBurst[bucket']
  used' = used and valid' = valid and spent' = spent and excess' = excess
}

pred expireAtHost {
  valid' in valid
  used' = used and bucket' = bucket and counted' = counted and delivered' = delivered
  spent' = spent and returned' = returned and excess' = excess
}

pred expireAtLeader {
  counted' in counted
  no (counted - counted') & valid
  used' = used and bucket' = bucket and valid' = valid and delivered' = delivered
  spent' = spent and returned' = returned and excess' = excess
}

/** Another leader takes over, without knowledge of the earlier bucket and grants. */
pred newLeader {
  StartsFull in Active
    => (bucket' = fresh + tokens/next[fresh] and used' = used + bucket')
    else (no bucket' and used' = used)
  no counted'
  valid' = valid and delivered' = delivered and spent' = spent and returned' = returned
  excess' = excess
}

/** Any step other than a tick may also leave all tokens where they are. */
fact traces {
  init
  always {
    tick or grant or deliver or deliverAgain or spend or learn or giveBack or credit
      or expireAtHost or expireAtLeader or newLeader
  }
}

/** The excess is the maximum over all windows that end now, so this bounds every window. */
pred withinRate { always atMostBurst[excess] }

check withinRate { no Active implies withinRate } for 7 Token, 13..13 steps expect 0
check withinRate_startsFull { Active = StartsFull implies withinRate }
  for 7 Token, 13..13 steps expect 1
check withinRate_fillsAtOnce { Active = FillsAtOnce implies withinRate }
  for 7 Token, 13..13 steps expect 1
check withinRate_repeatCountsTwice { Active = RepeatCountsTwice implies withinRate }
  for 7 Token, 13..13 steps expect 1
check withinRate_capIgnoresGrants { Active = CapIgnoresGrants implies withinRate }
  for 7 Token, 13..13 steps expect 1
check withinRate_lateReturnCredited { Active = LateReturnCredited implies withinRate }
  for 7 Token, 13..13 steps expect 1

/** A host can spend tokens granted by a new leader, so the checks are not vacuous. */
run spendsUnderNewLeader {
  no Active
  eventually { newLeader and no earlier and eventually { some spent' & counted - spent } }
} for 7 Token, 13..13 steps expect 1
