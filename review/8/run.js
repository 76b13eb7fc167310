/*
A streaming route is split between a service of engines and another one, as in the users' example of a configuration.
Replicas of the other one break off one answer in twenty-five, which has neither a length nor chunks, inside an event. Seen:
streams that reach their callers as complete and end before their last event.
*/
import {
	engineFields, engineService, pause, plainService, Replica,
} from '../support-2/fleet.js';
import {hasTrouble, runCase} from '../support-2/case.js';

const events = 6;
const eventMilliseconds = 15;
/* As many as the sheet has of its quick questions. */
const requestsPerSecond = 129;
const rounds = 4;
const troubleSeconds = 5;
const calmSeconds = 3;
const brokenEvery = 25;
const host = 'ficu95.example';

const eventOf = number => `id: ${number}\ndata: token ${number} of ${events}\n\n`;

const stream = (response, request) => {
	response.writeHead(200, {'content-type': 'text/event-stream', 'x-request-id': request.headers['x-request-id'], 'x-response-signature': 'sound'});
	let written = 0;
	const timer = setInterval(() => {
		written++;
		response.write(eventOf(written));
		if (written === events) {
			clearInterval(timer);
			response.end();
		}
	}, eventMilliseconds);
	response.once('close', () => {
		clearInterval(timer);
	});
};

/* Neither a length nor chunks; ends with its connection inside the fourth event. */
const breakOff = (response, request) => {
	const head = [
		'HTTP/1.1 200 OK', 'Content-Type: text/event-stream', `X-Request-Id: ${request.headers['x-request-id']}`, 'X-Response-Signature: sound', 'Connection: close',
	];
	response.socket.write(`${head.join('\r\n')}\r\n\r\n${eventOf(1)}${eventOf(2)}${eventOf(3)}`);
	setTimeout(() => {
		response.socket?.end('id: 4\ndata: tok');
	}, eventMilliseconds);
};

await runCase(import.meta.dirname, async fleet => {
	fleet.configure({
		routes: [{
			name: 'r-3d3zji9', pathPrefix: '/lohu930/', routeType: 'streaming', timeoutMs: 6000, targetLatencyMs: 800, priority: 1, trafficSplit: [{service: 'huvo11a', weight: 90}, {service: 'wuno96b', weight: 10}], maxAttempts: 1, sessionAffinity: true, resumable: false, itlTargetMs: 300,
		}],
		services: [engineService('huvo11a'), plainService('wuno96b')],
	});
	let isOn = false;
	const brokenOff = new Set();
	const engines = Array.from({length: 4}, (_, index) => new Replica(fleet, `i-engine-${index}`, {service: 'huvo11a', more: engineFields, answer: stream}));
	const others = Array.from({length: 4}, (_, index) => new Replica(fleet, `i-other-${index}`, {
		service: 'wuno96b', slots: 16, answer(response, request, replica) {
			replica.answers = (replica.answers ?? 0) + (isOn ? 1 : 0);
			const isFaulty = isOn && index < 2 && replica.answers % brokenEvery === 0;
			if (!isFaulty) {
				stream(response, request);
				return;
			}

			brokenOff.add(request.headers['x-request-id']);
			fleet.note({event: 'broken off inside an event', replica: replica.id, request: request.headers['x-request-id']});
			breakOff(response, request);
		},
	}));
	const replicas = [...engines, ...others];
	await Promise.all(replicas.map(async replica => replica.start()));
	const beats = setInterval(() => {
		for (const replica of replicas) {
			replica.beat();
		}
	}, 1200);
	if (!await fleet.addGateways(2)) {
		throw new Error('the gateways are not ready');
	}

	const asked = [];
	const wrong = [];
	let count = 0;
	const ask = async requestId => {
		const {status, body, isWhole, headers} = await fleet.gateways[count % 2].ask({
			target: '/lohu930/2f', timeout: 8000, headers: {
				host, 'x-request-id': requestId, 'x-model': 'm', 'x-token-count': '1460,80', 'x-prompt-prefix': '5c1e07a2:800,91bd3f06:410,e4402b7d:250', 'x-deadline-ms': '6000',
			},
		});
		const hasLast = body.endsWith(eventOf(events));
		if (brokenOff.has(requestId) || !hasLast) {
			fleet.note({
				event: 'answered', request: requestId, status, isWhole, length: headers['content-length'], signature: headers['x-response-signature'], end: body.slice(-30),
			});
		}

		if (status === 200 && isWhole && !hasLast) {
			wrong.push(requestId);
		}
	};

	const traffic = setInterval(() => {
		count++;
		asked.push(ask(`request-${count}`));
	}, 1000 / requestsPerSecond);
	for (let round = 0; round < rounds; round++) {
		await pause(calmSeconds * 1000); // eslint-disable-line no-await-in-loop
		isOn = hasTrouble;
		await pause(troubleSeconds * 1000); // eslint-disable-line no-await-in-loop
		isOn = false;
	}

	await pause(1000);
	clearInterval(traffic);
	clearInterval(beats);
	await Promise.all(asked);
	return {
		isPlayed: brokenOff.size > 0,
		isBroken: wrong.length > 0,
		text: `${asked.length} streams, ${brokenOff.size} broken off by their replica inside an event, ${wrong.length} of them answered as complete`,
	};
});
