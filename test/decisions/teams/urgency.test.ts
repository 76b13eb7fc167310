/**
The order of requests by the priority of their team and their route, at the gateway and in an engine's queue.
*/
import {test} from 'tap';
import {engineRank} from '../../../source/decisions/entry/prompts/engine-rank.js';
import {promptQueue} from '../../../source/decisions/entry/prompts/prompt-queue.js';
import type {WaitingPrompt} from '../../../source/decisions/entry/prompts/waiting-prompt.js';
import {UrgencyLevels} from '../../../source/decisions/teams/urgency-levels.js';
import type {RequestTeam} from '../../../source/fleet/request-team.js';
import type {Route} from '../../../source/fleet/route.js';
import type {Team} from '../../../source/fleet/team.js';

const route = (priority: number, more: Partial<Route> = {}): Route => ({
	name: `r-${priority}`, host: 'a.example', pathPrefix: '/', kind: 'streaming', isResumable: false, timeoutMilliseconds: 1000, targetLatencyMilliseconds: 100, firstEventPatienceMilliseconds: 2000, priority, isPublic: false, mostAttempts: 1, split: [{service: 's', weight: 1}], ...more,
});

const teamsOf = (priorities: readonly number[]): readonly Team[] => priorities.map((priority, index) => ({name: `team-${index}`, keys: [`k-${index}`], priority}));

const requestTeam = (priority: number): RequestTeam => ({kind: 'team', name: 'any', priority});

// Guards against a change for deployments without teams.
test('without teams the order and the rank are those of the route, as before', t => {
	const levels = new UrgencyLevels({routes: [route(0), route(7)]});
	for (const priority of [0, 1, 3, 7, 40]) {
		const urgency = levels.of({kind: 'none'}, route(priority));
		t.equal(urgency.order, priority);
		t.equal(engineRank('onTime', urgency), Math.min(9, 2 + priority));
		t.equal(engineRank('late', urgency), Math.min(9, 6 + priority));
	}

	t.end();
});

// Guards against a route's priority that goes before a team's, whatever numbers the operator uses.
test('requests are ordered by their team\'s priority, then by their route\'s, and those without a key come last', t => {
	for (const [teamPriorities, routePriorities] of [[[0, 1, 2], [0, 1]], [[30, 10, 20, 10], [5, 500]], [[-1, 0.5, 1e9], [0, 0.25, 3]], [[4], [0]]] as const) {
		const routes = routePriorities.map(priority => route(priority, {isPublic: true}));
		const levels = new UrgencyLevels({teams: teamsOf(teamPriorities), routes: [...routes, route(99, {kind: 'idempotent'})]});
		const sortedTeams = [...new Set(teamPriorities)].toSorted((first, second) => first - second);
		const requests = [...sortedTeams.map(priority => requestTeam(priority)), {kind: 'anonymous'} as const].flatMap(team => routes.map(each => levels.of(team, each)));
		t.strictSame(requests.map(({order}) => order), requests.map((_, index) => index), 'no gaps, in this order');
		t.ok(requests.every(({levels: count}) => count === requests.length));
	}

	t.end();
});

// Guards against urgent work behind less urgent work in an engine's queue, and late work before work that can be on time.
test('a rank never contradicts the order, and late work ranks after all work that can be on time', t => {
	for (const teamCount of [1, 2, 3, 10, 74]) {
		for (const routeCount of [1, 2, 3]) {
			const isPublic = teamCount === 3;
			const routes = Array.from({length: routeCount}, (_, index) => route(index, {isPublic}));
			const levels = new UrgencyLevels({teams: teamsOf(Array.from({length: teamCount}, (_, index) => index)), routes});
			const teams: readonly RequestTeam[] = [...Array.from({length: teamCount}, (_, index) => requestTeam(index)), ...isPublic ? [{kind: 'anonymous'} as const] : []];
			const urgencies = teams.flatMap(team => routes.map(each => levels.of(team, each)));
			for (const [lane, lowest, highest] of [['onTime', 0, 5], ['late', 6, 9]] as const) {
				const ranks = urgencies.map(urgency => engineRank(lane, urgency));
				t.strictSame(ranks, ranks.toSorted((first, second) => first - second));
				t.ok(ranks.every(rank => Number.isInteger(rank) && rank >= lowest && rank <= highest));
				t.equal(new Set(ranks).size, Math.min(urgencies.length, highest - lowest + 1), 'as many ranks as there are are used');
			}
		}
	}

	t.end();
});

// Guards against a large team of low priority whose burst goes before the requests of an urgent team on a less urgent route.
test('in a burst, the prompts of a more urgent team go first at the gateway', t => {
	const levels = new UrgencyLevels({teams: teamsOf([0, 5]), routes: [route(0), route(1)]});
	const prompt = (id: string, team: RequestTeam, routePriority: number): WaitingPrompt => ({
		id, team: undefined, teamPriority: 0, kind: 'questions', priority: levels.of(team, route(routePriority)).order, dueAt: 800, giveUpAt: 3200, tokens: 100, sharedParts: [], sharedKey: '', sharedTokens: 0, bodyBytes: 0, avoid: new Set(), isInPlaceOnly: false,
	});
	const burst = Array.from({length: 50}, (_, index) => prompt(`burst-${index}`, requestTeam(5), 0));
	const waiting = [...burst, prompt('urgent', requestTeam(0), 1), prompt('most urgent', requestTeam(0), 0)];
	const {timely} = promptQueue.order(waiting, 0);
	t.strictSame(timely.slice(0, 2).map(({id}) => id), ['most urgent', 'urgent']);
	t.end();
});
