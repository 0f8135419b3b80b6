/*
 * Rate grants of one workspace with a burst of 2 and a refill of 1 per tick (design page, 5.6). The
 * leader keeps a bucket of tokens and grants them to entry hosts, which spend them. Only a tick takes
 * time, so a window may hold any number of grants and requests. Every step moves a set of tokens; a
 * grant is a set of tokens that moves together, and which host it goes to makes no difference. Expiry
 * has no counter: a host may void a token at any step, and the leader stops counting it only after
 * that, which covers all durations for which a grant ends at the host first.
 */
module rates

open util/ordering[Token] as tokens

abstract sig Fault {}
one sig StartsFull, FillsAtOnce, RepeatCountsTwice, CapIgnoresGrants, LateReturnCredited
    extends Fault {}
/** The faults of a variant; empty for the protocol as it should be. */
sig Active in Fault {}

sig Token {}
/** Tokens that came into being; fresh ones are taken in order. */
var sig used in Token {}
/** Tokens in the bucket of the leader in office. */
var sig bucket in used {}
/** Tokens that this leader granted and still counts as outstanding. */
var sig counted in used {}
/** Granted tokens whose duration has not ended at the host; the message may be on its way. */
var sig valid in used {}
/** Granted tokens that arrived at a host. */
var sig delivered in used {}
var sig spent in used {}
/** Tokens that the host returned; the leader may hear of it later, or never. */
var sig returned in used {}
/** Tokens spent in the window that ends now and that has most of them in excess of its refill. */
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

/** One unit of time passes. A new leader does not fill while earlier grants may be spent. */
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

/** Grant messages arrive in time; a repeated one changes nothing. */
pred deliver {
  delivered in delivered'
  delivered' in delivered + valid
  used' = used and bucket' = bucket and counted' = counted and valid' = valid and spent' = spent
  returned' = returned and excess' = excess
}

/** Only in a broken variant: a repeated message adds a token to the host. */
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

/** A host gives up tokens that it does not need. */
pred giveBack {
  valid' in valid
  valid - valid' in spendable
  returned' = returned + (valid - valid')
  used' = used and bucket' = bucket and counted' = counted and delivered' = delivered
  spent' = spent and excess' = excess
}

/** The leader credits returned tokens, once and only while it counts them. */
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

/** Another leader takes over: it knows nothing of the bucket and of the grants before it. */
pred newLeader {
  StartsFull in Active
    => (bucket' = fresh + tokens/next[fresh] and used' = used + bucket')
    else (no bucket' and used' = used)
  no counted'
  valid' = valid and delivered' = delivered and spent' = spent and returned' = returned
  excess' = excess
}

/** Every step but a tick may move no token at all. */
fact traces {
  init
  always {
    tick or grant or deliver or deliverAgain or spend or learn or giveBack or credit
      or expireAtHost or expireAtLeader or newLeader
  }
}

/** The excess is the largest over all windows that end now, so this bounds every window. */
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

/** A new leader grants and a host spends, so that the check is not empty. */
run spendsUnderNewLeader {
  no Active
  eventually { newLeader and no earlier and eventually { some spent' & counted - spent } }
} for 7 Token, 13..13 steps expect 1
