/**
What engines say of themselves reaches all gateways, and prompts go by it.
*/
import {test, type Test} from 'tap';
import {answerAsEngine} from '../support/answer-as-engine.js';
import {EntryFleet} from '../support/entry-fleet.js';

const prompt = {'x-model': 'm', 'x-token-count': '17000,50', 'x-prompt-prefix': 'aa:13300,bb:3700'};
const engine = {
	slots: 8, kvCapacityTokens: 400_000, kvBytes: 1000, linkMbps: 100_000, handleTtlS: 5, roleSwitchS: 3,
};

/** Answers questions on the cache like an engine whose changes the test writes. */
class Cache {
	readonly asked: string[] = [];
	readonly #rows: Array<readonly [number, string, string, string, number, string]> = [];
	#epoch = 7;
	#isGap = false;

	change(part: string, tokens: number): void {
		this.#rows.push([this.#rows.length + 1, tokens > 0 ? '+' : '-', '', part, tokens, 'm']);
	}

	/** Restarts with nothing, or loses changes. */
	restart(): void {
		this.#epoch++;
		this.#rows.length = 0;
	}

	lose(): void {
		this.#isGap = true;
	}

	readonly tell = (path: string): unknown => {
		this.asked.push(path);
		if (path === '/v1/kv-list') {
			this.#isGap = false;
			const held = new Map(this.#rows.map(row => [row[3], row[4]]));
			return {epoch: this.#epoch, next: this.#rows.length, held: [...held].filter(([, tokens]) => tokens > 0).map(([part, tokens]) => ['', part, tokens, 'm'])};
		}

		const since = Number(new URL(path, 'http://engine').searchParams.get('since'));
		return {
			epoch: this.#epoch, next: this.#rows.length, lost: this.#isGap, events: this.#isGap ? [] : this.#rows.slice(since),
		};
	};
}

const start = async (t: Test) => {
	const fleet = await EntryFleet.start(t);
	fleet.configure([{
		name: 'dossiers', pathPrefix: '/dossiers/', routeType: 'streaming', service: 'models', sessionAffinity: true, itlTargetMs: 300,
	}], [{name: 'models', engine}]);
	const reader = await fleet.addTarget('i-1', 'models', {phase: 'prefill'});
	const maker = await fleet.addTarget('i-2', 'models', {phase: 'decode'});
	const cache = new Cache();
	reader.answer = answerAsEngine;
	maker.answer = answerAsEngine;
	reader.tellKept = cache.tell;
	return {
		fleet, reader, maker, cache,
	};
};

let count = 0;

/** Tokens that the gateway takes the reader to keep of the next prompt. */
const keptFor = async (fleet: EntryFleet, gateway: Awaited<ReturnType<EntryFleet['addGateway']>>): Promise<unknown> => {
	count++;
	const requestId = `r${count}`;
	await fleet.ask(gateway, {path: '/dossiers/1', requestId, headers: prompt});
	return fleet.logged('placed').find(({request}) => request === requestId)?.keptTokens;
};

/** Asks until the gateway believes this; what was just sent is believed for some seconds. */
const believes = async (fleet: EntryFleet, gateway: Awaited<ReturnType<EntryFleet['addGateway']>>, tokens: number): Promise<boolean> => {
	if (await keptFor(fleet, gateway) === tokens) {
		return true;
	}

	await new Promise(resolve => {
		setTimeout(resolve, 2600);
	});
	return believes(fleet, gateway, tokens);
};

test('what an engine says it keeps is believed, and what it says is gone is not', async t => {
	const {fleet, cache} = await start(t);
	cache.change('aa', 13_300);
	const gateway = await fleet.addGateway();
	await fleet.until(() => fleet.logged('engine followed').some(({target}) => target === 'i-1'));
	t.equal(await keptFor(fleet, gateway), 13_300);
	cache.change('aa', 0);
	t.equal(await believes(fleet, gateway, 0), true);
	cache.change('aa', 5000);
	t.equal(await believes(fleet, gateway, 5000), true);
});

test('one gateway asks, and the other knows; a gateway that comes later knows too', async t => {
	const {fleet, cache} = await start(t);
	cache.change('aa', 9000);
	const first = await fleet.addGateway();
	t.equal(await believes(fleet, first, 9000), true);
	const second = await fleet.addGateway({peerSeeds: [`${first.settings.listen.peers!.host}:${first.settings.listen.peers!.port}`]});
	await fleet.until(() => fleet.logged('peer found').length >= 2);
	t.equal(await believes(fleet, second, 9000), true);
	t.equal(await believes(fleet, first, 9000), true);
});

test('an engine that restarted, or whose changes were missed, is asked for all that it keeps', async t => {
	const {fleet, cache} = await start(t);
	cache.change('aa', 13_300);
	const gateway = await fleet.addGateway();
	await fleet.until(() => cache.asked.length > 1);
	t.equal(cache.asked.includes('/v1/kv-list'), false, 'not asked without need');
	cache.restart();
	cache.change('aa', 4000);
	t.equal(await believes(fleet, gateway, 4000), true);
	t.equal(cache.asked.includes('/v1/kv-list'), true);
	cache.lose();
	cache.change('aa', 6000);
	t.equal(await believes(fleet, gateway, 6000), true);
});

test('an engine that answers such questions with nonsense is used all the same', async t => {
	const {fleet, reader} = await start(t);
	let asked = 0;
	const nonsense: readonly unknown[] = ['text', {epoch: 1, next: 'x'}, {epoch: 1, next: 1, events: [[1], 'row', [1, '+', '', 5, 'many']]}, [], null];
	reader.tellKept = () => {
		asked++;
		return nonsense[asked % nonsense.length];
	};

	const gateway = await fleet.addGateway();
	await fleet.until(() => asked > 2);
	t.match(await fleet.ask(gateway, {path: '/dossiers/1', requestId: 'n1', headers: prompt}), {status: 200, isWhole: true});
});
