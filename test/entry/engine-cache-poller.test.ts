/**
Cache changes that an engine reports reach all gateways, which use them to place prompts.
*/
import {test, type Test} from 'tap';
import {answerAsEngine} from '../support/answer-as-engine.js';
import {EntryFleet} from '../support/entry-fleet.js';

const prompt = {'x-model': 'm', 'x-token-count': '17000,50', 'x-prompt-prefix': 'aa:13300,bb:3700'};
const engine = {
	slots: 8, kvCapacityTokens: 400_000, kvBytes: 1000, linkMbps: 100_000, handleTtlS: 5, roleSwitchS: 3,
};

/** Answers cache requests like an engine; the test determines its cache changes. */
class EngineCache {
	readonly requestedPaths: string[] = [];
	readonly #rows: Array<readonly [number, string, string, string, number, string]> = [];
	#epoch = 7;
	#isGap = false;

	recordChange(part: string, tokens: number): void {
		this.#rows.push([this.#rows.length + 1, tokens > 0 ? '+' : '-', '', part, tokens, 'm']);
	}

	/** Restarts the engine with an empty cache. */
	restart(): void {
		this.#epoch++;
		this.#rows.length = 0;
	}

	loseChanges(): void {
		this.#isGap = true;
	}

	readonly answer = (path: string): unknown => {
		this.requestedPaths.push(path);
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
	const prefillEngine = await fleet.addTarget('i-1', 'models', {phase: 'prefill'});
	const decodeEngine = await fleet.addTarget('i-2', 'models', {phase: 'decode'});
	const cache = new EngineCache();
	prefillEngine.answer = answerAsEngine;
	decodeEngine.answer = answerAsEngine;
	prefillEngine.tellKept = cache.answer;
	return {
		fleet, reader: prefillEngine, maker: decodeEngine, cache,
	};
};

let count = 0;

/** Sends a prompt and returns how many of its tokens the gateway expects in the cache of the engine where it places the prompt. */
const expectedCachedTokens = async (fleet: EntryFleet, gateway: Awaited<ReturnType<EntryFleet['addGateway']>>): Promise<unknown> => {
	count++;
	const requestId = `r${count}`;
	await fleet.ask(gateway, {path: '/dossiers/1', requestId, headers: prompt});
	return fleet.logged('placed').find(({request}) => request === requestId)?.keptTokens;
};

/** Repeats until the gateway expects this many cached tokens. A prompt that was just sent counts as cached for some seconds. */
const eventuallyExpects = async (fleet: EntryFleet, gateway: Awaited<ReturnType<EntryFleet['addGateway']>>, tokens: number): Promise<boolean> => {
	if (await expectedCachedTokens(fleet, gateway) === tokens) {
		return true;
	}

	await new Promise(resolve => {
		setTimeout(resolve, 2600);
	});
	return eventuallyExpects(fleet, gateway, tokens);
};

test('parts that an engine reports as cached count as cached, and parts that it reports as evicted do not', async t => {
	const {fleet, cache} = await start(t);
	cache.recordChange('aa', 13_300);
	const gateway = await fleet.addGateway();
	await fleet.until(() => fleet.logged('engine followed').some(({target}) => target === 'i-1'));
	t.equal(await expectedCachedTokens(fleet, gateway), 13_300);
	cache.recordChange('aa', 0);
	t.equal(await eventuallyExpects(fleet, gateway, 0), true);
	cache.recordChange('aa', 5000);
	t.equal(await eventuallyExpects(fleet, gateway, 5000), true);
});

test('one gateway polls the engine, and its peers learn the cache content, also a peer that starts later', async t => {
	const {fleet, cache} = await start(t);
	cache.recordChange('aa', 9000);
	const first = await fleet.addGateway();
	t.equal(await eventuallyExpects(fleet, first, 9000), true);
	const second = await fleet.addGateway({peerSeeds: [`${first.settings.listen.peers!.host}:${first.settings.listen.peers!.port}`]});
	await fleet.until(() => fleet.logged('peer found').length >= 2);
	t.equal(await eventuallyExpects(fleet, second, 9000), true);
	t.equal(await eventuallyExpects(fleet, first, 9000), true);
});

test('the whole cache is listed after an engine restart or after missed changes', async t => {
	const {fleet, cache} = await start(t);
	cache.recordChange('aa', 13_300);
	const gateway = await fleet.addGateway();
	await fleet.until(() => cache.requestedPaths.length > 1);
	t.equal(cache.requestedPaths.includes('/v1/kv-list'), false, 'the whole cache is not listed without need');
	cache.restart();
	cache.recordChange('aa', 4000);
	t.equal(await eventuallyExpects(fleet, gateway, 4000), true);
	t.equal(cache.requestedPaths.includes('/v1/kv-list'), true);
	cache.loseChanges();
	cache.recordChange('aa', 6000);
	t.equal(await eventuallyExpects(fleet, gateway, 6000), true);
});

test('an engine that gives malformed answers to cache requests still gets prompts', async t => {
	const {fleet, reader: prefillEngine} = await start(t);
	let requestCount = 0;
	const nonsense: readonly unknown[] = ['text', {epoch: 1, next: 'x'}, {epoch: 1, next: 1, events: [[1], 'row', [1, '+', '', 5, 'many']]}, [], null];
	prefillEngine.tellKept = () => {
		requestCount++;
		return nonsense[requestCount % nonsense.length];
	};

	const gateway = await fleet.addGateway();
	await fleet.until(() => requestCount > 2);
	t.match(await fleet.ask(gateway, {path: '/dossiers/1', requestId: 'n1', headers: prompt}), {status: 200, isWhole: true});
});
