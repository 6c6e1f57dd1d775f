#include "phonepage.h"

namespace whintack::entry::Internal {

static constexpr const char *PageText = R"PAGE(<!doctype html>
<html lang="en"><head><meta charset="utf-8">
<meta name="viewport" content="width=device-width,initial-scale=1">
<title>whintack</title>
<style>
:root{color-scheme:light dark}
body{font:16px/1.4 system-ui,sans-serif;margin:0 auto;max-width:640px;padding:12px}
h1{font-size:20px;margin:0}h2{font-size:16px;margin:20px 0 6px}
.card{border:1px solid #8886;border-radius:8px;padding:10px;margin:8px 0}
.bad{color:#c22;font-weight:600}.ok{color:#183;font-weight:600}
.bar{position:relative;height:14px;background:#8883;border-radius:7px;margin:4px 0;overflow:hidden}
.bar i{position:absolute;left:0;top:0;bottom:0;background:#2a7}
.bar i.low{background:#d80}.bar i.out{background:#c22}
.bar b{position:absolute;top:0;bottom:0;width:3px;background:#000;outline:1px solid #fff}
button,select,input{font:inherit;min-height:44px;padding:6px 12px;border-radius:8px;border:1px solid #8888;max-width:100%}
button.go{background:#156;color:#fff}
small{opacity:.75}.row{display:flex;gap:8px;flex-wrap:wrap;align-items:center}
li{margin:2px 0;overflow-wrap:anywhere}ul{padding-left:18px;margin:4px 0}
</style></head><body>
<div class="row"><h1>whintack</h1><small id="where"></small></div>
<div id="login" class="card" hidden><label>Operator token<br>
<input id="token" type="password" autocomplete="current-password"></label>
<button id="enter">Enter</button></div>
<div id="notice"></div>
<div class="card"><div>In force: <b id="preset">…</b> <small id="since"></small></div>
<div><small id="rev"></small></div></div>
<div class="card" id="change"><div class="row"><select id="presets"></select>
<button id="choose">Preview</button></div><div id="preview"></div></div>
<h2>Budgets</h2><div id="budgets"></div>
<h2>Maintenance waves</h2><div id="waves"></div>
<h2>Data centres</h2><div id="peers"></div>
<h2>Events</h2><ul id="events"></ul>
<script>
const $=id=>document.getElementById(id);
const esc=t=>String(t??'').replace(/[&<>"]/g,c=>({'&':'&amp;','<':'&lt;','>':'&gt;','"':'&quot;'}[c]));
let token=sessionStorage.getItem('token')||'',chosen=null,busy=false;
async function call(path,body){
 const options={headers:{Authorization:'Bearer '+token}};
 if(body){options.method='POST';options.body=JSON.stringify(body.data);
  options.headers['Operation-Id']=body.operation;}
 const answer=await fetch('/api/v1/'+path,options);
 const text=await answer.json().catch(()=>({}));
 return{status:answer.status,data:text};}
function say(text,bad){$('notice').innerHTML=text?'<div class="card '+(bad?'bad':'ok')+'">'+esc(text)+'</div>':'';}
function budget(b){
 const whole=Math.max(b.target,b.available,1),kind=b.room<0?'out':b.room==0?'low':'';
 return '<div class="card"><b>'+esc(b.service)+'</b> '+b.available+' of '+b.target+
 ' serve, '+b.required+' needed'+(b.room<0?' <span class="bad">budget broken</span>':'')+
 '<div class="bar"><i class="'+kind+'" style="width:'+100*b.available/whole+'%"></i><b style="left:'+
 100*b.required/whole+'%"></b></div><small>room '+b.room+', tickets '+b.tickets+'</small></div>';}
function wave(w){
 const whole=Math.max(1,w.done+w.underWay+w.waiting+w.failed);
 let end='';
 if(w.state=='running'&&w.done){const t=Date.now()-Date.parse(w.startedAt);
  end=', about '+Math.ceil(t/w.done*(w.waiting+w.underWay)/60000)+' min left';}
 const act=w.state=='running'?['pause','cancel']:w.state=='paused'?['resume','cancel']:['start'];
 return '<div class="card"><b>'+esc(w.pool)+'</b> '+esc(w.state)+' '+esc(w.reason)+
 '<div class="bar"><i style="width:'+100*w.done/whole+'%"></i></div><small>'+w.done+' done, '+w.underWay+
 ' under way, '+w.waiting+' waiting, '+w.failed+' failed'+end+'</small><div class="row">'+
 act.map(a=>'<button data-wave="'+esc(w.pool)+'" data-act="'+a+'">'+a+'</button>').join('')+'</div></div>';}
async function refresh(){
 if(busy)return;busy=true;
 try{
  const s=await call('status');
  if(s.status==401){$('login').hidden=false;return;}
  $('login').hidden=true;const d=s.data;
  $('where').textContent=(d.fleet||'')+' · '+d.entry+' · '+d.dataCentre;
  $('preset').textContent=d.preset||'nothing yet';
  $('since').textContent=d.presetSince?'since '+d.presetSince:'';
  $('rev').textContent='revision '+d.revision+(d.changedBy?', '+d.summary+' by '+d.changedBy:'');
  const names=(d.presets||[]).join();
  if($('presets').dataset.names!=names){$('presets').dataset.names=names;
   $('presets').innerHTML=(d.presets||[]).map(p=>'<option>'+esc(p)+'</option>').join('');}
  const up=d.platform.reachable;$('choose').disabled=!up;
  if(!up)say('The platform does not answer since '+d.platform.lastHeard+
   '. This is what was in force then; nothing can be changed now.',true);
  else if($('notice').textContent.startsWith('The platform'))say('');
  $('budgets').innerHTML=(d.budgets||[]).map(budget).join('')||'<small>none</small>';
  const known=(d.waves||[]).map(w=>w.pool);
  $('waves').innerHTML=(d.waves||[]).map(wave).join('')+(d.pools||[]).filter(p=>!known.includes(p.pool)).map(p=>
   '<button data-wave="'+esc(p.pool)+'" data-act="start">start '+esc(p.pool)+'</button> ').join('');
  $('peers').innerHTML='<ul>'+[{name:d.entry+' (here)',dataCentre:d.dataCentre,usable:true,revision:d.revision}]
   .concat(d.peers).map(p=>'<li>'+esc(p.dataCentre)+' '+esc(p.name)+': '+
   (p.usable?'revision '+p.revision+(p.revision<d.revision?' <span class="bad">behind</span>':''):
   '<span class="bad">cut off or down</span>')+'</li>').join('')+'</ul>';
  const t=await call('timeline?limit=30');
  $('events').innerHTML=(t.data.events||[]).reverse().map(e=>'<li><small>'+esc(e.time.slice(11,19))+' '+
   esc(e.node)+'</small> '+esc(e.kind)+' '+esc([e.vm,e.service,e.operator,e.text].filter(x=>x).join(' '))+'</li>').join('');
 }catch(error){say('This entry VM does not answer: '+error,true);}
 finally{busy=false;}}
$('enter').onclick=()=>{token=$('token').value;sessionStorage.setItem('token',token);refresh();};
$('choose').onclick=async()=>{
 const r=await call('preset/choose',{data:{preset:$('presets').value},operation:''});
 if(r.status!=200){say(r.data.error+' '+(r.data.next||''),true);return;}
 chosen={token:r.data.token,operation:Math.random().toString(16).slice(2)+Date.now().toString(16)};
 const e=r.data.estimate;
 $('preview').innerHTML='<p>'+esc(r.data.inForce)+' → <b>'+esc(r.data.preset)+'</b></p>'+
 (e?'<ul><li>'+e.moves+' VMs move</li><li>'+e.spareVms+' VMs spare (buffer cost)</li>'+
 (e.missingVms?'<li class="bad">'+e.missingVms+' VMs missing</li>':'')+
 '<li>about '+Math.ceil(e.rollOutSeconds/60)+' min</li></ul>':'')+
 '<button class="go" id="confirm">Confirm '+esc(r.data.preset)+'</button>';
 $('confirm').onclick=confirmPreset;};
async function confirmPreset(){
 const r=await call('preset/confirm',{data:{token:chosen.token},operation:chosen.operation});
 if(r.status==200){say('In force: '+r.data.preset+', revision '+r.data.revision);$('preview').innerHTML='';}
 else if(r.status==409)say('Someone was faster: '+r.data.message,true);
 else say((r.data.message||r.data.error||'no answer')+' '+(r.data.next||''),true);
 refresh();}
$('waves').onclick=async event=>{
 const b=event.target;if(!b.dataset.wave)return;
 const r=await call('wave',{data:{pool:b.dataset.wave,action:b.dataset.act},operation:Math.random().toString(16).slice(2)});
 if(r.status!=200)say(r.data.error+' '+(r.data.next||''),true);refresh();};
refresh();setInterval(refresh,2000);
</script></body></html>
)PAGE";

http::HttpResponse phonePage() {
  http::HttpResponse Response;
  Response.Status = http::status::Ok;
  Response.Headers.set("Content-Type", "text/html; charset=utf-8");
  Response.Headers.set("Cache-Control", "no-store");
  Response.Body = PageText;
  return Response;
}

} // namespace whintack::entry::Internal
