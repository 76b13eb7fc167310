/**
Renders the operators' console: one page with a form, rendered on the server and usable by keyboard.
*/
import * as option from 'fp-ts/lib/Option.js';
import {parseDocument} from '../../configuration/parse-document.js';
import type {AcceptedConfiguration} from '../../decisions/configuration/accepted-configuration.js';
import type {TargetView} from '../../decisions/routing/target-view.js';
import type {Configuration, ServiceConfiguration} from '../../generated/configuration.js';
import type {GatewayStatus} from '../gateway-status.js';
import {escapeHtml} from './escape-html.js';

const style = `body{font:16px system-ui,sans-serif;max-width:64rem;margin:1rem auto;padding:0 1rem}
table{border-collapse:collapse;width:100%}th,td{text-align:left;padding:.3rem .6rem;border-bottom:1px solid #ccc}
fieldset{margin:1rem 0}label{display:inline-block;margin:.3rem 1rem .3rem 0}
.errors{border:2px solid #a00;padding:.5rem 1rem}`;

const input = (name: string, label: string, value: string | number | undefined, attributes: string): string =>
	`<label>${escapeHtml(label)} <input name="${escapeHtml(name)}" value="${escapeHtml(String(value ?? ''))}" ${attributes}></label>`;

const select = (name: string, label: string, value: string, choices: readonly string[]): string => {
	const options = choices.map(choice => `<option${choice === value ? ' selected' : ''}>${choice}</option>`).join('');
	return `<label>${escapeHtml(label)} <select name="${escapeHtml(name)}">${options}</select></label>`;
};

const renderService = (service: ServiceConfiguration): string => {
	const classes = (service.classes ?? []).map(({name, importance, deadlineMilliseconds}) => `<p><strong>${escapeHtml(name)}</strong>
${select(`${service.name}.${name}.importance`, 'Importance', importance, ['high', 'normal', 'low'])}
${input(`${service.name}.${name}.deadlineMilliseconds`, 'Deadline in milliseconds', deadlineMilliseconds, 'type="number" min="1" required')}</p>`);
	const goodputWeightInput = service.roles === undefined
		? ''
		: input(`${service.name}.goodputWeight`, 'Weight of goodput against role changes (0 to 1)', service.roles.goodputWeight, 'type="number" min="0" max="1" step="0.05" required');
	return `<fieldset><legend>${escapeHtml(service.name)} (${service.kind})</legend>
${input(`${service.name}.retryShare`, 'Retries as a share of requests', service.retryShare, 'type="number" min="0" max="1" step="0.01"')}
${goodputWeightInput}${classes.join('')}</fieldset>`;
};

const renderForm = (document: Configuration, generation: number): string => `<form method="post" action="/">
<input type="hidden" name="basedOn" value="${generation}">
<fieldset><legend>Models</legend>${(document.models ?? []).map(({name, version}) => input(`models.${name}.version`, `Version of ${name}`, version, 'required')).join('')}</fieldset>
${document.services.map(service => renderService(service)).join('')}
<p>${input('author', 'Your name', '', 'required autocomplete="name"')}<button>Submit configuration</button></p></form>`;

const renderTarget = ({name, service, availabilityZone, load, leaving, listedLeaving}: TargetView): string => `<tr><td>${escapeHtml(name)}</td>
<td>${escapeHtml(service)}</td><td>${escapeHtml(availabilityZone)}</td><td>${load?.role ?? ''}</td><td>${escapeHtml(load?.version ?? '')}</td>
<td>${load?.running ?? ''}</td><td>${load?.queued ?? ''}</td><td>${leaving || listedLeaving ? 'leaving' : 'live'}</td></tr>`;

/**
Returns the page with the errors of the last submission, the status and the form.

@example
```
renderConsole(status, configurationReplica.accepted, []);
```
*/
export const renderConsole = (status: GatewayStatus, accepted: option.Option<AcceptedConfiguration>, errors: readonly string[]): string => {
	const document = option.isSome(accepted) ? parseDocument(accepted.value.document) : undefined;
	const form = document?.isOk() === true && option.isSome(accepted)
		? renderForm(document.value, accepted.value.generation)
		: '<p>No configuration is in force at this gateway yet.</p>';
	const author = option.isSome(accepted) ? ` from ${escapeHtml(accepted.value.author)}` : '';
	const errorList = errors.length === 0 ? '' : `<div class="errors" role="alert"><ul>${errors.map(error => `<li>${escapeHtml(error)}</li>`).join('')}</ul></div>`;
	return `<!doctype html><html lang="en"><head><meta charset="utf-8"><title>cowsliprudder</title><style>${style}</style></head><body>
<h1>cowsliprudder</h1>${errorList}
<p>${escapeHtml(status.name)} in ${escapeHtml(status.availabilityZone)}: configuration generation ${status.generation}${author},
${status.liveRequests} live requests, ${status.ready ? 'ready' : 'not ready'}.</p>
<h2>Targets</h2><table><thead><tr><th>Target</th><th>Service</th><th>Availability zone</th><th>Role</th><th>Version</th><th>Running</th><th>Queued</th><th>State</th></tr></thead>
<tbody>${status.targets.map(target => renderTarget(target)).join('')}</tbody></table>
<h2>Configuration</h2>${form}</body></html>`;
};
