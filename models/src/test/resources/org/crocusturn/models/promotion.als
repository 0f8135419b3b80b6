/*
 * Replacement of the primary of one database group (design page, 5.4 and 5.5). A write may reach the
 * primary at any time after it was sent, so executing it requires no lease; acknowledging it does. A
 * suspended or partitioned process is modelled as one that takes no step for a while. A lease ends at
 * the host and at the control leader in the same step, because the leader waits until the lease has
 * ended at the host whatever the clocks show. Some steps may apply several changes at once, which
 * keeps traces short; each change is also possible alone, so no interleaving is lost.
 */
module promotion

open util/ordering[Term] as terms
open util/ordering[Index] as indices

abstract sig Fault {}
one sig PromotesWithoutWaiting, RenewsDuringFailover, LeaseCheckedAtWrite, PromotesAnyCopy,
  AcknowledgesUnreplicated, ReadsBeforeFence, CountsFencedPosition, ComparesIndexOnly
  extends Fault {}
/** Faults of a broken variant; empty in the correct protocol. */
sig Active in Fault {}

sig Term, Index {}
/** Hosts that can hold the group lease; a lease is valid for one term. */
sig Host { var lease: lone Term }
one sig FirstHolder extends Host {}
/** Copies of the database. An entry is identified by its index and the term that wrote it. */
sig Copy { var log: Index -> lone Term, var fence: one Term }
one sig FirstPrimary extends Copy {}

/** Replicated and volatile state of the control hosts. */
one sig Control {
  var term: one Term,
  var failing: lone Term,
  var primary: Term -> lone Copy,
  /** Copies whose position was read for the failover, and the logs that were read. */
  var read: set Copy,
  var seen: Copy -> Index -> Term
}
/** Entries that were at any time durable (on a replica, as known to the holder), checked (sent under
 * a valid lease) or acknowledged. */
one sig History {
  var durable: Index -> Term,
  var checked: Index -> Term,
  var acknowledged: Index -> Term
}

fun current: Term { Control.term }
fun primaryNow: Copy { Control.primary[current] }
fun lastIndex[l: Index -> Term]: lone Index { indices/max[l.Term] }
fun lastTerm[l: Index -> Term]: lone Term { l[lastIndex[l]] }

/** Whether the position of a is at least that of b. */
pred atLeast[a, b: Index -> Term] {
  no b or {
    some a
    ComparesIndexOnly in Active
      => indices/gte[lastIndex[a], lastIndex[b]]
      else terms/gt[lastTerm[a], lastTerm[b]]
        or (lastTerm[a] = lastTerm[b] and indices/gte[lastIndex[a], lastIndex[b]])
  }
}

pred init {
  lease = FirstHolder -> terms/first
  no log
  all c: Copy | c.fence = terms/first
  Control.term = terms/first
  no Control.failing
  Control.primary = terms/first -> FirstPrimary
  no Control.read
  no Control.seen
  no History.durable
  no History.checked
  no History.acknowledged
}

pred sameLease { lease' = lease }
pred sameCopies { log' = log and fence' = fence }
pred sameControl { term' = term and failing' = failing and primary' = primary }
pred sameRead { read' = read and seen' = seen }
pred sameChecked { checked' = checked }
pred sameAcknowledged { acknowledged' = acknowledged }

pred stutter {
  sameLease and sameCopies and sameControl and sameRead and sameChecked and sameAcknowledged
}

/** The copy that was promoted for term t executes writes of t until it is fenced at a later term. */
pred write[t: Term] {
  some c: Control.primary[t], i: Index {
    c.fence = t
    no c.log[i]
    let new = (i + indices/prevs[i]) - c.log.Term {
      log' = log + c -> new -> t
      checked' = checked + (some lease.t => History -> new -> t else none -> none -> none)
    }
  }
  fence' = fence
  sameLease and sameControl and sameRead and sameAcknowledged
}

/** A replica follows the primary of t: it drops entries that the primary does not have and copies
 * entries of the primary. */
pred replicate[t: Term, r: Copy] {
  some p: Control.primary[t] - r, i: Index {
    p.fence = t
    terms/lte[r.fence, t]
    let part = (i + indices/prevs[i]) <: p.log {
      some p.log[i]
      r.log & p.log in part
      log' = log - r -> r.log + r -> part
    }
    fence' = fence ++ r -> t
  }
  sameLease and sameControl and sameRead and sameChecked and sameAcknowledged
}

/** The holder acknowledges a durable write, at a time at which its lease for the term is valid. */
pred acknowledge[i: Index, t: Term] {
  i -> t in History.durable - History.acknowledged
  LeaseCheckedAtWrite in Active => i -> t in History.checked else some lease.t
  acknowledged' = acknowledged + History -> i -> t
  sameLease and sameCopies and sameControl and sameRead and sameChecked
}

/** The lease expires, or the holder confirms that it has given up the term. */
pred endLease[h: Host] {
  some h.lease
  lease' = lease - h -> Term
  sameCopies and sameControl and sameRead and sameChecked and sameAcknowledged
}

/** Assigns or renews the lease for the current term; never while a failover is in progress. */
pred grantLease[h: Host] {
  no (Host - h).lease
  RenewsDuringFailover not in Active implies no Control.failing
  lease' = h -> current
  sameCopies and sameControl and sameRead and sameChecked and sameAcknowledged
}

pred beginFailover {
  no Control.failing
  failing' = Control -> terms/next[current]
  some failing'
  term' = term and primary' = primary
  lease' in lease
  sameCopies and sameRead and sameChecked and sameAcknowledged
}

pred oldLeaseEnded {
  no Host.lease & terms/prevs[Control.failing] or PromotesWithoutWaiting in Active
}

/** Copies are fenced at the new term and report their positions. */
pred fenceCopies {
  some Control.failing
  oldLeaseEnded
  let s = { c: Copy | c.fence' != c.fence } {
    s.fence' in Control.failing
    let unread = ReadsBeforeFence in Active => s - Control.read else s {
      read' = read + Control -> unread
      seen' = seen + Control -> (unread <: log)
    }
  }
  log' = log
  sameLease and sameControl and sameChecked and sameAcknowledged
}

/** A new control leader reads the position of a copy that is already fenced. */
pred readFenced[c: Copy] {
  some Control.failing
  oldLeaseEnded
  c not in Control.read
  c.fence = Control.failing
  read' = read + Control -> c and seen' = seen + Control -> c -> c.log
  sameLease and sameCopies and sameControl and sameChecked and sameAcknowledged
}

/** Broken variant only: the position is read before the copy is fenced. */
pred readCopy[c: Copy] {
  ReadsBeforeFence in Active
  some Control.failing
  c not in Control.read
  read' = read + Control -> c and seen' = seen + Control -> c -> c.log
  sameLease and sameCopies and sameControl and sameChecked and sameAcknowledged
}

/** The copy with the highest position in a fenced majority becomes primary. The promotion is
 * committed, and a lease that nobody holds may be assigned with it. */
pred promote[c: Copy] {
  some Control.failing
  c in Control.read
  some disj a, b: Control.read | (a + b).fence = Control.failing
  Control.read.fence = Control.failing
  PromotesAnyCopy in Active or all d: Control.read | atLeast[Control.seen[c], Control.seen[d]]
  primary' = primary + Control -> Control.failing -> c
  term' = failing
  no failing' and no read' and no seen'
  lease' = lease or (no lease and some h: Host | lease' = h -> Control.failing)
  sameCopies and sameChecked and sameAcknowledged
}

/** Another control leader takes over the failover and must read all positions again. */
pred newControlLeader {
  some Control.read
  no read' and no seen'
  sameLease and sameCopies and sameControl and sameChecked and sameAcknowledged
}

/** A returning copy is fenced at the current term before it follows the primary. */
pred fenceReturning[c: Copy] {
  no Control.failing
  terms/lt[c.fence, current]
  fence' = fence ++ c -> current
  log' = log
  sameLease and sameControl and sameRead and sameChecked and sameAcknowledged
}

/** Whether the holder sees entry i of term t on a copy other than the primary of t. */
pred onReplica[i: Index, t: Term] {
  some r: Copy - Control.primary[t] | i -> t in r.log
}

/** Broken variants only: other entries that the holder considers replicated. */
pred wronglyOnReplica[i: Index, t: Term] {
  let p = Control.primary[t] {
    i -> t in p.log
    AcknowledgesUnreplicated in Active or {
      CountsFencedPosition in Active
      some r: Copy - p | r.fence = t and some r.log[i]
    }
  }
}

/** An entry that was once on a replica stays durable to the holder, because reports may be late. */
pred durabilityKept {
  all i: Index, t: Term |
    (i -> t in History.durable')
      iff (i -> t in History.durable or after (onReplica[i, t] or wronglyOnReplica[i, t]))
}

/** Stuttering steps come last, which excludes no order of the other steps. */
fact idleLast { always (stutter implies after stutter) }

fact traces {
  init
  always {
    durabilityKept
    stutter or beginFailover or fenceCopies or newControlLeader
      or (some t: Term | write[t] or (some r: Copy | replicate[t, r])
        or (some i: Index | acknowledge[i, t]))
      or (some h: Host | endLease[h] or grantLease[h])
      or (some c: Copy | readFenced[c] or readCopy[c] or promote[c] or fenceReturning[c])
  }
}

/** No write is acknowledged for a term after a higher term was promoted. */
pred noStaleAcknowledgement {
  always no terms/nexts[Index.(History.acknowledged' - History.acknowledged)]
    & Control.primary.Copy
}

/** Every acknowledged write is in the log of each later primary. */
pred acknowledgedSurvives { always History.acknowledged in primaryNow.log }

check noStaleAcknowledgement { no Active implies noStaleAcknowledgement }
  for exactly 3 Copy, exactly 2 Host, 3 Term, 2 Index, 11..11 steps expect 0
check noStaleAcknowledgement_promotesWithoutWaiting {
  Active = PromotesWithoutWaiting implies noStaleAcknowledgement
} for exactly 3 Copy, exactly 2 Host, 3 Term, 2 Index, 11..11 steps expect 1
check noStaleAcknowledgement_renewsDuringFailover {
  Active = RenewsDuringFailover implies noStaleAcknowledgement
} for exactly 3 Copy, exactly 2 Host, 3 Term, 2 Index, 11..11 steps expect 1
check noStaleAcknowledgement_leaseCheckedAtWrite {
  Active = LeaseCheckedAtWrite implies noStaleAcknowledgement
} for exactly 3 Copy, exactly 2 Host, 3 Term, 2 Index, 11..11 steps expect 1

check acknowledgedSurvives { no Active implies acknowledgedSurvives }
  for exactly 3 Copy, exactly 2 Host, 3 Term, 2 Index, 11..11 steps expect 0
check acknowledgedSurvives_promotesAnyCopy {
  Active = PromotesAnyCopy implies acknowledgedSurvives
} for exactly 3 Copy, exactly 2 Host, 3 Term, 2 Index, 11..11 steps expect 1
check acknowledgedSurvives_acknowledgesUnreplicated {
  Active = AcknowledgesUnreplicated implies acknowledgedSurvives
} for exactly 3 Copy, exactly 2 Host, 3 Term, 2 Index, 11..11 steps expect 1
check acknowledgedSurvives_readsBeforeFence {
  Active = ReadsBeforeFence implies acknowledgedSurvives
} for exactly 3 Copy, exactly 2 Host, 3 Term, 2 Index, 11..11 steps expect 1
check acknowledgedSurvives_countsFencedPosition {
  Active = CountsFencedPosition implies acknowledgedSurvives
} for exactly 3 Copy, exactly 2 Host, 3 Term, 2 Index, 11..11 steps expect 1
check acknowledgedSurvives_comparesIndexOnly {
  Active = ComparesIndexOnly implies acknowledgedSurvives
} for exactly 3 Copy, exactly 2 Host, 3 Term, 2 Index, 11..11 steps expect 1

/** Two failovers can complete with a write acknowledged in each term, so the checks are not
 * vacuous. */
run acknowledgesInThreeTerms {
  no Active
  eventually Index.(History.acknowledged) = Term
} for exactly 3 Copy, exactly 2 Host, exactly 3 Term, 3 Index, 20..20 steps expect 1
