/*
 * Replicated log of the control hosts (design page, 5.1). Each vote and each append at a follower is a
 * separate step. Entries are synced to disk before a step counts them, so a restart changes nothing
 * and is not modelled in the correct protocol. The initial state contains the first entry, which holds
 * the initial membership and was committed by the leader of the first term. An election may collect
 * several votes in one step, which keeps traces short; collecting them one by one remains possible.
 */
module configlog

open util/ordering[Term] as terms
open util/ordering[Index] as indices

abstract sig Fault {}
one sig VotesAfterLoss, RejoinsAfterHeartbeat, ReplacesAtOnce, CountsEarlierTerms,
  AnswersBeforeSync, ChangesBeforeOwnCommit extends Fault {}
/** Faults of a broken variant; empty in the correct protocol. */
sig Active in Fault {}

sig Term, Index {}
sig Member {
  /** Durable state: the term, the vote in this term, and the log. */
  var term: one Term,
  var vote: lone Member,
  var log: Index -> lone Term,
  /** Volatile state: the votes that a candidate received, and the term that a leader leads. */
  var voters: set Member,
  var leads: lone Term
}
/** Members that lost their disk and do not count towards majorities. */
var sig Lost in Member {}
one sig FirstLeader extends Member {}
/** Members that are not in the initial membership. */
sig Spare in Member {}
fact { FirstLeader not in Spare }

/** The voters that a membership entry sets; an entry without voters is a command. An entry is
 * identified by its index and the term of the leader that appended it. */
one sig Content { membership: Index -> Term -> Member }
one sig History {
  var committed: Index -> Term,
  /** The entries that existed when a member last returned without its disk. */
  var older: Index -> Term
}

fun lastIndex[m: Member]: lone Index { indices/max[m.log.Term] }
fun lastTerm[m: Member]: lone Term { m.log[lastIndex[m]] }
/** Indices of the membership entries in the log of a member. */
fun changes[m: Member]: set Index { { i: m.log.Term | some Content.membership[i][m.log[i]] } }
/** The voters known to a member: the newest membership in its log, committed or not. */
fun membersOf[m: Member]: set Member {
  let i = indices/max[changes[m]] | Content.membership[i][m.log[i]]
}

/** Whether more than half of an electorate of 2 to 5 members is in the set. Avoiding integers makes
 * the checks many times faster. */
pred majority[s, electorate: set Member] {
  let t = s & electorate {
    (some disj a, b, c: t | some a) or {
      some disj a, b: t | some a
      no disj a, b, c, d: electorate | some a
    }
  }
}

pred upToDate[c, v: Member] {
  no v.log or terms/gt[lastTerm[c], lastTerm[v]]
    or (lastTerm[c] = lastTerm[v] and indices/gte[lastIndex[c], lastIndex[v]])
}

pred init {
  let first = Member - Spare {
    Content.membership[indices/first][terms/first] = first
    leads = FirstLeader -> terms/first
    log = first -> indices/first -> terms/first
  }
  Member.term = terms/first
  no vote
  no voters
  no older
  no Lost
  History.committed = indices/first -> terms/first
}

pred sameTerms { term' = term }
pred sameVotes { vote' = vote }
pred sameLogs { log' = log }
pred sameLeaders { voters' = voters and leads' = leads }
pred sameLost { Lost' = Lost and older' = older }

pred stutter {
  sameTerms and sameVotes and sameLogs and sameLeaders and sameLost
}

pred mayVote[v, c: Member, t: Term] {
  terms/lt[v.term, t] or (v.term = t and no v.vote)
  v not in Lost
  upToDate[c, v]
}

/** A member starts an election in its next term, votes for itself and may receive other votes in the
 * same step. */
pred stand[c: Member] {
  c in membersOf[c]
  let t = terms/next[c.term], s = c.voters' {
    some t
    c in s
    all v: s | mayVote[v, c, t]
    term' = term ++ s -> t
    vote' = vote ++ s -> c
    voters' = voters - s -> Member + c -> s
    leads' = leads - s -> Term + (majority[s, membersOf[c]] => c -> t else none -> none)
  }
  sameLogs and sameLost
}

/** A member votes for a candidate, which becomes leader once a majority of its members have voted for
 * it. */
pred give[v, c: Member] {
  v != c
  some c.voters
  no c.leads
  mayVote[v, c, c.term]
  term' = term ++ v -> c.term
  vote' = vote ++ v -> c
  let elected = c.voters + v {
    voters' = (v.term = c.term => voters else voters - v -> Member) + c -> v
    leads' = (v.term = c.term => leads else leads - v -> Term)
      + (majority[elected, membersOf[c]] => c -> c.term else none -> none)
  }
  sameLogs and sameLost
}

/** A leader appends and syncs an entry. A new membership differs by one member from the previous
 * one. */
pred append[l: Member] {
  some l.leads
  l not in Lost
  let i = indices/next[lastIndex[l]], new = Content.membership[i][l.term] {
    some i
    log' = log + l -> i -> l.term
    some new implies changeAllowed[l, new]
  }
  sameTerms and sameVotes and sameLeaders and sameLost
}

pred changeAllowed[l: Member, new: set Member] {
  let old = membersOf[l], changed = (old - new) + (new - old) {
    ReplacesAtOnce in Active => (one old - new and one new - old) else one changed
  }
  let i = indices/max[changes[l]] | i -> l.log[i] in History.committed
  ChangesBeforeOwnCommit in Active or some History.committed.(l.term) & l.log.(l.term)
}

/** A follower appends entries of a leader, syncs them and acknowledges them. */
pred replicate[l, f: Member] {
  l != f
  some l.leads
  terms/lte[f.term, l.term]
  some i: Index {
    some l.log[i]
    let part = (i + indices/prevs[i]) <: l.log {
      f.log & l.log in part
      log' = log - f -> f.log + f -> part
    }
  }
  term' = term ++ f -> l.term
  voters' = (f.term = l.term => voters else voters - f -> Member)
  leads' = (f.term = l.term => leads else leads - f -> Term)
  vote' = (f.term = l.term => vote else vote - f -> Member)
  sameLost
}

/** Whether a leader may commit this entry now: the entry, or a later one, is of the leader's term and
 * in the logs of a majority that is in this term. */
pred committable[i: Index, t: Term] {
  some l: leads.Term - Lost, j: i + indices/nexts[i] {
    l.log[i] = t
    some l.log[j]
    l.log[j] = l.term or CountsEarlierTerms in Active
    majority[{ m: Member - Lost | m.term = l.term and l.log[j] = m.log[j] }, membersOf[l]]
  }
}

/** Entries are committed as early as possible, which makes the assertions as strong as possible. */
fact commits {
  always all i: Index, t: Term |
    i -> t in History.committed'
      iff (i -> t in History.committed or after committable[i, t])
}

/** A member loses its disk and returns with an empty data folder. */
pred loseDisk[m: Member] {
  m not in Lost
  m in membersOf[m]
  lossTolerated[m]
  term' = term ++ m -> terms/first
  vote' = vote - m -> Member
  log' = log - m -> Index -> Term
  voters' = voters - m -> Member
  leads' = leads - m -> Term
  VotesAfterLoss in Active => sameLost else {
    Lost' = Lost + m
    older' = History -> Member.log
  }
}

/** At most one disk is missing at a time: another disk is lost only after the first is repaired. */
pred lossTolerated[m: Member] { no Lost }

/** A member that lost its disk counts again once it has an entry that the leader appended after the
 * member returned and that a majority without the member committed. */
pred rejoin[l, m: Member] {
  m in Lost
  some l.leads
  m.term = l.term
  RejoinsAfterHeartbeat in Active
    => heartbeat[l, m]
    else some (History.committed & m.log & Index -> l.term) - History.older
  Lost' = Lost - m
  older' = older
  sameTerms and sameVotes and sameLogs and sameLeaders
}

/** Broken variant only: a heartbeat confirms a commit index, without a new entry. The other members
 * that answer it are those in the leader's term. */
pred heartbeat[l, m: Member] {
  majority[{ o: Member - m | o.term = l.term }, membersOf[l]]
  some History.committed & l.log & Index -> l.term
  History.committed & l.log in m.log
}

/** Broken variant only: a crash loses entries that were acknowledged before they were synced. */
pred loseUnsynced[m: Member] {
  AnswersBeforeSync in Active
  some i: Index - indices/first {
    some m.log[i]
    log' = log - m -> (i + indices/nexts[i]) -> Term
  }
  voters' = voters - m -> Member
  leads' = leads - m -> Term
  sameTerms and sameVotes and sameLost
}

/** Each trace ends with stuttering steps and has them only there, which excludes no finite order of
 * the other steps. */
fact idleLast { always (stutter implies after stutter) and eventually stutter }

fact traces {
  init
  always {
    stutter
      or (some m: Member | stand[m] or append[m] or loseDisk[m] or loseUnsynced[m])
      or (some disj a, b: Member | give[a, b] or replicate[a, b] or rejoin[a, b])
  }
}

/** A committed entry is in the log of every leader of a later term. */
pred committedSurvives {
  always all l: Member, t: l.leads |
    all i: Index, e: History.committed[i] & terms/prevs[t] | i -> e in l.log
}
/** At most one member leads a term. */
pred oneLeader { always all t: Term | lone leads.t }
/** Committed entries at the same index are equal. */
pred committedEqual { always all i: Index | lone History.committed[i] }

/** Excludes membership changes, which makes a check faster. */
pred fixed {
  no Spare
  Content.membership.Member = indices/first -> terms/first
}

check committedSurvives {
  no Active and fixed implies committedSurvives
} for exactly 3 Member, 2 Index, 4 Term, 7..7 steps expect 0
check committedSurvives_votesAfterLoss {
  Active = VotesAfterLoss and fixed implies committedSurvives
} for exactly 3 Member, 2 Index, 4 Term, 7..7 steps expect 1
check committedSurvives_countsEarlierTerms {
  Active = CountsEarlierTerms and fixed implies committedSurvives
} for exactly 3 Member, 2 Index, 4 Term, 7..7 steps expect 1
check committedSurvives_answersBeforeSync {
  Active = AnswersBeforeSync and fixed implies committedSurvives
} for exactly 3 Member, 2 Index, 4 Term, 7..7 steps expect 1

check oneLeader {
  no Active and one Spare implies oneLeader
} for exactly 4 Member, 3 Index, 2 Term, 6..6 steps expect 0
check oneLeader_replacesAtOnce {
  Active = ReplacesAtOnce and one Spare implies oneLeader
} for exactly 4 Member, 3 Index, 2 Term, 6..6 steps expect 1
check oneLeader_votesAfterLoss {
  Active = VotesAfterLoss and one Spare implies oneLeader
} for exactly 4 Member, 3 Index, 2 Term, 6..6 steps expect 1

check committedEqual {
  no Active and fixed implies committedEqual
} for exactly 3 Member, 2 Index, 2 Term, 7..7 steps expect 0
check committedEqual_votesAfterLoss {
  Active = VotesAfterLoss and fixed implies committedEqual
} for exactly 3 Member, 2 Index, 2 Term, 7..7 steps expect 1
check committedEqual_answersBeforeSync {
  Active = AnswersBeforeSync and fixed implies committedEqual
} for exactly 3 Member, 2 Index, 2 Term, 7..7 steps expect 1

/** A member can be replaced by successive changes, so the checks are not vacuous. */
run replacesMember {
  no Active and one Spare
  eventually { some l: Member | some l.leads and Spare in membersOf[l] and #membersOf[l] = 3
    and l.log in History.committed }
} for exactly 4 Member, 3 Index, 2 Term, 6..6 steps expect 1

/** A member that lost its disk can count again and vote for a new leader. */
run rejoinsAndVotes {
  no Active and fixed
  eventually { some Lost and eventually { no Lost and some l: leads.Term - FirstLeader {
    no Lost' and some m: Member - l | m in l.voters and m.log = FirstLeader.log } } }
} for exactly 3 Member, 2 Index, 2 Term, 7..7 steps expect 1
