/*
One of four replicas hands out wrong bytes in place of one answer in fifty, for six seconds. Ordinary requests go on to
all four. Seen by the callers: which requests are unanswered at their route's time-out, and half a second later.
*/
import {
	answerWhole, pause, plainService, Replica,
} from '../support-2/fleet.js';
import {hasTrouble, runCase} from '../support-2/case.js';

const timeoutMilliseconds = 1500;
const graceMilliseconds = 500;
/* As many as the sheet has of plain requests. */
const requestsPerSecond = 49;
/* The machine is in touch before. */
const calmSeconds = 4;
const troubleSeconds = 6;
const lengthSeconds = 10;
const workMilliseconds = 21;
const spoiledEvery = 50;
/* Neither is a response: 101 needs a request to upgrade, and no status is below 100. */
const wrongHeads = ['HTTP/1.1 101 Switching Protocols', 'HTTP/1.1 099 Unknown'];

const spoil = (response, request, count) => {
	const head = wrongHeads[count % wrongHeads.length];
	response.socket.write(`${head}\r\nX-Request-Id: ${request.headers['x-request-id']}\r\nContent-Length: 4\r\n\r\ndone`);
};

await runCase(import.meta.dirname, async fleet => {
	fleet.configure({
		routes: [{
			name: 'bid-place', pathPrefix: '/pule252/', routeType: 'non_idempotent', timeoutMs: timeoutMilliseconds, targetLatencyMs: 121, service: 'wuno96b',
		}],
		services: [plainService('wuno96b')],
	});
	let isOn = false;
	let answers = 0;
	let spoiled = 0;
	const create = (id, isFaulty) => new Replica(fleet, id, {
		service: 'wuno96b', slots: 6, answer(response, request, replica) {
			setTimeout(() => {
				answers += isFaulty && isOn ? 1 : 0;
				if (isFaulty && isOn && answers % spoiledEvery === 0) {
					fleet.note({
						event: 'wrong bytes', replica: id, request: request.headers['x-request-id'], head: wrongHeads[spoiled % wrongHeads.length],
					});
					spoil(response, request, spoiled);
					spoiled++;
					return;
				}

				answerWhole(response, request, replica);
			}, workMilliseconds);
		},
	});
	const replicas = [create('i-faulty', true), create('i-2', false), create('i-3', false), create('i-4', false)];
	await Promise.all(replicas.map(async replica => replica.start()));
	const beats = setInterval(() => {
		for (const replica of replicas) {
			replica.beat();
		}
	}, 1200);
	if (!await fleet.addGateways(2)) {
		throw new Error('the gateways are not ready');
	}

	const [gateway] = fleet.gateways;
	const asked = [];
	let count = 0;
	const traffic = setInterval(() => {
		count++;
		const requestId = `bid-${count}`;
		asked.push((async () => {
			const reply = await gateway.ask({
				target: '/pule252/lot', body: 'a bid', timeout: 30_000, headers: {host: 'ficu95.example', 'x-request-id': requestId, 'x-deadline-ms': String(timeoutMilliseconds)},
			});
			fleet.note({
				event: 'answered', request: requestId, status: reply.status, error: reply.error, milliseconds: reply.milliseconds,
			});
			return reply;
		})());
	}, 1000 / requestsPerSecond);
	await pause(calmSeconds * 1000);
	isOn = hasTrouble;
	await pause(troubleSeconds * 1000);
	isOn = false;
	await pause(lengthSeconds * 1000);
	clearInterval(traffic);
	clearInterval(beats);
	const replies = await Promise.all(asked);
	const unanswered = replies.filter(({milliseconds}) => milliseconds > timeoutMilliseconds);
	const late = unanswered.filter(({milliseconds}) => milliseconds > timeoutMilliseconds + graceMilliseconds);
	const longest = Math.max(...replies.map(({milliseconds}) => milliseconds));
	return {
		isPlayed: spoiled > 0,
		isBroken: unanswered.length >= 8 && late.length > unanswered.length / 2,
		text: `${replies.length} requests, ${spoiled} answers spoiled, ${unanswered.length} unanswered at ${timeoutMilliseconds} ms, ${late.length} of them ${graceMilliseconds} ms later, longest ${longest} ms`,
	};
});
