/**
A part of prompts that crashes each engine which begins to answer it: the gateways find it
out from the crashes, and hold back the requests with it and no others.
*/
import {test, type Test} from 'tap';
import type {PlatformTargetStandIn} from '../../stand-ins/platform-target-stand-in.js';
import type {EntryFleet} from '../support/entry-fleet.js';
import {startStreamFleet} from '../support/stream-fleet.js';

const crashingPart = 'dead';
const engineCount = 8;
/** Within this time of the fifth crash, every gateway must know of it. */
const noticeMilliseconds = 3000;
const crashesUntilNoticed = 5;
/** Requests with the part that may still reach engines after that. */
const maxSentOn = 3;
const betweenCrashesMilliseconds = 700;

const pause = async (milliseconds: number): Promise<void> => new Promise(resolve => {
	setTimeout(resolve, milliseconds);
});

const prompt = (middle: string, last: string, tokens = '400,50'): Readonly<Record<string, string>> => ({'x-model': 'm', 'x-token-count': tokens, 'x-prompt-prefix': `aa:100,${middle}:100,${last}:200`});

/** Engines that crash on the part and are replaced; `crashes` counts them, `sentOn` the requests with the part that reached one. */
class CrashingEngines {
	crashes = 0;
	sentOn = 0;
	readonly #fleet: EntryFleet;

	constructor(fleet: EntryFleet) {
		this.#fleet = fleet;
	}

	async add(id: string): Promise<void> {
		const target = await this.#fleet.addTarget(id, 'models', {phase: 'decode'});
		target.answer = (response, arrival) => {
			if (String(arrival.headers['x-prompt-prefix']).includes(crashingPart)) {
				this.sentOn++;
				this.#crash(target, id);
				return;
			}

			response.writeHead(200, {'x-request-id': arrival.requestId, 'x-response-signature': 'proof', 'content-type': 'text/event-stream'});
			response.end('id: 1\ndata: piece\n\n');
		};
	}

	#crash(target: PlatformTargetStandIn, id: string): void {
		this.crashes++;
		target.stop();
		setTimeout(() => {
			this.#fleet.store.remove(`servers/${id}`);
			void this.add(`${id}-next`);
		}, betweenCrashesMilliseconds);
	}
}

const start = async (t: Test) => {
	const fleet = await startStreamFleet(t);
	const engines = new CrashingEngines(fleet);
	await Promise.all(Array.from({length: engineCount}, async (_, index) => engines.add(`i-${index}`)));
	const first = await fleet.addGateway();
	const {host, port} = first.settings.listen.peers!;
	const gateways = [first, await fleet.addGateway({peerSeeds: [`${host}:${port}`]})];
	await fleet.until(() => fleet.logged('peer found').length === gateways.length);
	const ask = async (path: string, number: number, middle: string, tokens?: string): ReturnType<EntryFleet['ask']> => fleet.ask(gateways[number % gateways.length]!, {
		path: `/${path}/1`, requestId: `${path}-${middle}-${number}`, headers: prompt(middle, `own${number}`, tokens),
	});
	return {
		fleet, engines, gateways, ask,
	};
};

/** Crashes engines one after the other, each by one request, until everybody must have noticed. */
const crashUntilNoticed = async ({engines, ask}: Awaited<ReturnType<typeof start>>, path: string): Promise<void> => {
	for (let number = 0; engines.crashes < crashesUntilNoticed && number < 2 * crashesUntilNoticed; number++) {
		await ask(path, number, `bb:10,${crashingPart}`); // eslint-disable-line no-await-in-loop
		await ask('dossiers', number + 1, 'bb'); // eslint-disable-line no-await-in-loop
		await pause(betweenCrashesMilliseconds); // eslint-disable-line no-await-in-loop
	}

	await pause(noticeMilliseconds);
};

for (const path of ['dossiers', 'questions']) {
	test(`requests of ${path} with a part that crashes engines are held back after five crashes, and sound ones are served`, async t => {
		const fleet = await start(t);
		await crashUntilNoticed(fleet, path);
		const {engines, ask} = fleet;
		const sentBefore = engines.sentOn;
		const replies = [];
		for (let number = 100; number < 112; number++) {
			replies.push(await ask(path, number, `bb:10,${crashingPart}`)); // eslint-disable-line no-await-in-loop
		}

		t.ok(engines.sentOn - sentBefore <= maxSentOn, `sent on ${engines.sentOn - sentBefore} more`);
		const refused = replies.filter(({status}) => status === 503);
		t.ok(refused.length >= replies.length - maxSentOn, `${refused.length} of ${replies.length} refused`);
		t.ok(refused.every(({headers}) => Number(headers['retry-after']) > 0));
		const sound = await Promise.all(Array.from({length: 20}, async (_, number) => ask(number % 2 === 0 ? 'dossiers' : 'questions', 200 + number, 'bb')));
		t.ok(sound.filter(({status}) => status === 200).length >= sound.length / 2);
	});
}

test('a prompt that is quarantined while it is prefilled is not sent on to an engine that would answer it', async t => {
	const {fleet, engines, ask} = await start(t);
	const prefillEngine = await fleet.addTarget('i-prefill', 'models', {phase: 'prefill'});
	let endPrefill: (() => void) | undefined;
	prefillEngine.answer = (response, {requestId, method}) => {
		const end = (): void => {
			response.writeHead(200, {'x-request-id': requestId, 'content-type': 'application/json'});
			response.end('{"kvHandle":"h1","tokens":40000,"version":1}');
		};

		if (method === 'DELETE') {
			end();
		} else {
			endPrefill = end;
		}
	};

	await fleet.until(() => fleet.logged('target appeared').length === 2 * (engineCount + 1));
	const reply = ask('dossiers', 900, `bb:39000,${crashingPart}`, '40000,50');
	await fleet.until(() => endPrefill !== undefined);
	for (let number = 0; fleet.logged('quarantine began').length < 2; number++) {
		await ask('questions', number, `bb:10,${crashingPart}`); // eslint-disable-line no-await-in-loop
		await pause(betweenCrashesMilliseconds); // eslint-disable-line no-await-in-loop
	}

	const sentBefore = engines.sentOn;
	endPrefill!();
	const {status, body} = await reply;
	t.equal(status, 503);
	t.match(JSON.parse(body), {error: {code: 1021, ran: 'not run'}});
	t.equal(engines.sentOn, sentBefore);
	await fleet.until(() => prefillEngine.arrivals.some(({method}) => method === 'DELETE'));
});

test('gateways that all start anew know from the store which parts crash engines', async t => {
	const {fleet, engines, gateways, ask} = await start(t);
	for (let number = 0; fleet.logged('quarantine saved').length === 0; number++) {
		await ask('dossiers', number, `bb:10,${crashingPart}`); // eslint-disable-line no-await-in-loop
		await pause(betweenCrashesMilliseconds); // eslint-disable-line no-await-in-loop
	}

	await Promise.all(gateways.map(async ({gateway}) => gateway.stop()));
	gateways.splice(0, 2, await fleet.addGateway());
	await fleet.until(() => fleet.logged('quarantine read').length === 1);
	const sentBefore = engines.sentOn;
	const {status, body} = await ask('dossiers', 900, `bb:10,${crashingPart}`);
	t.equal(status, 503);
	t.match(JSON.parse(body), {error: {code: 1021}});
	t.equal(engines.sentOn, sentBefore);
});
