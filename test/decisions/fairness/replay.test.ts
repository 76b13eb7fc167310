/**
Bursts and overloads of 74 teams and two kinds of prompts at six gateways, in virtual time and with fixed seeds.
*/
import {test} from 'tap';
import {FairnessReplay} from '../../../experiments/fairness/fairness-replay.js';
import {replayFigures} from '../../../experiments/fairness/replay-figures.js';
import {replayLoads} from '../../../experiments/fairness/replay-loads.js';

type Ways = ConstructorParameters<typeof FairnessReplay>[0]['shares'];

const seed = 11;
/** A team must not be served less than this share as often as all. */
const leastTeamShare = 0.25;
/** The largest tenth of a kind must not be served less than this share as often as the kind. */
const leastLargestShare = 0.5;
/** A kind must not be served less often than a less urgent one by more than this. */
const kindMargin = 0.05;
/** How much less of the engines' time may be used than in order of arrival. */
const busyMargin = 0.02;

const play = (load: keyof typeof replayLoads, shares: Ways, more: {readonly teams?: number; readonly isReturning?: boolean} = {}) => {
	const replayed = new FairnessReplay({
		seed, shares, ...replayLoads[load], ...more,
	}).run();
	return {...replayed, ...replayFigures(replayed.requests)};
};

test('TEAMS: a burst of one large team does not take the small teams\' share, and no team is starved', t => {
	const before = play('largeTeamBurst', 'none');
	const after = play('largeTeamBurst', 'digests');
	t.ok(before.smallWorst < 0.6, `${before.smallWorst} of the small teams' requests in the worst seconds without teams`);
	t.ok(after.small > 0.98, `${after.small} of the small teams' requests`);
	t.ok(after.smallWorst > 0.95, `${after.smallWorst} in the worst seconds`);
	t.ok(after.leastTeam > leastTeamShare * after.all, `${after.leastTeam} of the team that is served least, ${after.all} of all`);
	t.ok(after.busyShare > before.busyShare - busyMargin, 'the engines are used as much as in order of arrival');
	t.end();
});

test('KINDS, SIZES: bursts of two kinds that alternate do not displace the urgent kind, nor the largest prompts', t => {
	const after = play('alternatingBursts', 'digests');
	const [question, dossier] = after.kinds;
	t.ok(question! > dossier! - kindMargin, `${question} of the questions, ${dossier} of the dossiers`);
	t.ok(after.largest.every((share, kind) => share > leastLargestShare * after.kinds[kind]!), `${after.largest.join(', ')} of the largest tenth`);
	t.ok(after.leastTeam > leastTeamShare * after.all);
	t.end();
});

test('KINDS, SIZES, TEAMS: a lasting overload starves no team, kind or size', t => {
	const after = play('steadyOverload', 'digests');
	const [question, dossier] = after.kinds;
	t.ok(question! > dossier! - kindMargin, `${question} of the questions, ${dossier} of the dossiers`);
	t.ok(dossier! > 0.4, `${dossier} of the dossiers: the capacity that questions leave is used`);
	t.ok(after.largest.every((share, kind) => share > leastLargestShare * after.kinds[kind]!), `${after.largest.join(', ')} of the largest tenth`);
	t.ok(after.leastTeam > leastTeamShare * after.all, `${after.leastTeam} of the team that is served least, ${after.all} of all`);
	t.end();
});

test('TEAMS: shares hold also when the requests of each team come through two gateways only', t => {
	const after = play('overloadByTeam', 'digests');
	const local = play('overloadByTeam', 'local');
	t.ok(after.small > 0.98 && after.small > local.small, `${after.small} of the small teams' requests, ${local.small} where each gateway knows only its own`);
	t.ok(after.leastTeam > leastTeamShare * after.all, `${after.leastTeam} of the team that is served least, ${after.all} of all`);
	t.end();
});

test('RETURNS: callers that come back as told are served in the end, and not refused until they give up', t => {
	const without = play('largeTeamBurst', 'digests', {isReturning: false});
	const after = play('largeTeamBurst', 'digests');
	t.ok(after.all > without.all, `${after.all} of all are served when callers come back, ${without.all} when they do not`);
	t.ok(after.returned > 0.5, `${after.returned} of those that were refused are served later`);
	t.end();
});

test('SCALE: with 13,000 teams, most of which send one request, the queue serves as many, and urgent prompts first', t => {
	const before = play('steadyOverload', 'none', {teams: 13_000});
	const after = play('steadyOverload', 'digests', {teams: 13_000});
	t.ok(after.all > before.all, `${after.all} of all, ${before.all} without teams`);
	t.ok(after.kinds[0]! > after.kinds[1]! - kindMargin);
	t.ok(after.busyShare > before.busyShare - busyMargin);
	t.end();
});
